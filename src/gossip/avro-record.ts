/** Helpers that build the Avro schemas of the message codecs. */
import type avro from 'avsc';

/** A record whose fields map names to Avro types or names of types. The fields are encoded in this order. */
export const record = (name: string, fields: Record<string, avro.Schema>): avro.Schema => ({
  type: 'record',
  name,
  fields: Object.entries(fields).map(([field, type]) => ({ name: field, type })),
});

/** An array whose items have one type. */
export const arrayOf = (items: avro.Schema): avro.Schema => ({ type: 'array', items });

/** A value that may be null. Null is the first branch of the union, as the encoding requires everywhere. */
export const nullable = (type: avro.Schema): avro.Schema => ['null', type] as avro.Schema;
