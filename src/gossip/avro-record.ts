/** Schemas of Avro records, written shortly. */
import type avro from 'avsc';

/** A record of fields, each with the name of its Avro type or the type itself. */
export const record = (name: string, fields: Record<string, avro.Schema>): avro.Schema => ({
  type: 'record',
  name,
  fields: Object.entries(fields).map(([field, type]) => ({ name: field, type })),
});
