import { BriarpickError } from '@briarpick/error'

export { writeError } from '@briarpick/pg-wire'

/** Any failure to read a caller's bytes, as a protocol error. */
export function toBriarpickError (err: unknown): BriarpickError {
  if (err instanceof BriarpickError) return err
  const reason = err instanceof Error ? err.message : String(err)
  return new BriarpickError('ERR_BRIARPICK_PROTOCOL', `cannot read the message: ${reason}`, {
    hint: 'check that the driver speaks PostgreSQL 3.0',
    cause: err,
  })
}
