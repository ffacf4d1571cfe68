/** The operators' settings in the names and units of the program. */
import type { StandbySettings } from '@dewlatch/standby';

import type { ReschedulingSettings } from '../domain/settings.js';

/** The settings that operators can change: rescheduling and the warm standby. */
export interface Tuning extends ReschedulingSettings {
  standby: StandbySettings;
}
