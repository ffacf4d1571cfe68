/** The operators' own settings. */
import type { StandbySettings } from '@dewlatch/standby';
import type { ReschedulingSettings } from '../domain/settings.js';

export interface Tuning extends ReschedulingSettings {
  standby: StandbySettings;
}
