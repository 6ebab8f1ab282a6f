import { BriarpickError } from '@briarpick/error'

export { writeError } from '@briarpick/pg-wire'

/** Converts an error thrown while reading the messages of a caller to a BriarpickError. */
export function toProtocolError (err: unknown): BriarpickError {
  if (err instanceof BriarpickError) return err
  const reason = err instanceof Error ? err.message : String(err)
  return new BriarpickError('ERR_BRIARPICK_PROTOCOL', `cannot read message: ${reason}`, {
    hint: 'check that the driver uses PostgreSQL protocol 3.0',
    cause: err,
  })
}
