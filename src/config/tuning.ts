/** The operators' settings, in the units of the program. */
import type { StandbySettings } from '@dewlatch/standby';

import type { ReschedulingSettings } from '../domain/settings.js';

/** What operators may tune: rescheduling and the warm standby. */
export interface Tuning extends ReschedulingSettings {
  standby: StandbySettings;
}
