/** Sizes of the reports in which workers name all tasks on their machine. */
import { MAX_MESSAGE_BYTES } from './protocol.js';

/** A report without tasks and without the machine's names; all other fields are as long as possible. */
const LONGEST_EMPTY_REPORT =
  '{"Host":"","Endpoint":"","Flavor":"","Site":"","Reclaimable":false,"Tenure":18446744073709551615,' +
  '"Tick":18446744073709551615,"Fence":18446744073709551615,"WarningS":-1.7976931348623157e+308,"Shards":[]}';

/** A task with the comma that separates it from the next one, without its id; all other fields are as long as possible. */
const LONGEST_REPORTED_TASK =
  '{"Shard":"","Try":18446744073709551615,"Phase":"fetching","Cause":"unknown","Saved":false},';

/** The machine's id, endpoint, type and zone. */
const NAMES_IN_REPORT = 4;

/** Characters in a name for which there is space; the protocol has no limit for names. */
export const MAX_NAME_CHARACTERS = 200;

/** A character that JSON escapes, as in `\u00e9`. */
const MAX_CHARACTER_BYTES = 6;

/** Upper bound for the size of a task in a report without the task's id, bytes. */
export const LONGEST_REPORTED_TASK_BYTES = LONGEST_REPORTED_TASK.length;

/** Maximum size of all tasks in one report, bytes. */
export const MAX_REPORTED_TASKS_BYTES =
  MAX_MESSAGE_BYTES - LONGEST_EMPTY_REPORT.length - NAMES_IN_REPORT * MAX_NAME_CHARACTERS * MAX_CHARACTER_BYTES;
