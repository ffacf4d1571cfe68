/** Short forms for the Avro schemas of the codecs in this folder. */
import type avro from 'avsc';

/** A record of fields, each with the name of its Avro type or the type itself; their order is the order of the bytes. */
export const record = (name: string, fields: Record<string, avro.Schema>): avro.Schema => ({
  type: 'record',
  name,
  fields: Object.entries(fields).map(([field, type]) => ({ name: field, type })),
});

/** An array of items of one type. */
export const arrayOf = (items: avro.Schema): avro.Schema => ({ type: 'array', items });

/** A value that may be null; null is the first branch, as the wire has it everywhere. */
export const nullable = (type: avro.Schema): avro.Schema => ['null', type] as avro.Schema;
