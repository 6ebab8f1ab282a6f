import { isIP } from 'node:net'
import { Result } from 'true-myth'
import * as z from 'zod'
import { type Announcement } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { describeIssue } from '@briarpick/schema'

const MAX_NAME_LENGTH = 128
const MAX_PORT = 65_535
/** Largest number of statements that a target can run at once: beyond what any has, and small enough to be added up. */
const MAX_SLOTS = 65_535
/** Largest sequence of an announcement: a count that no process reaches, so that a later one can always be sent. */
const MAX_SEQUENCE = 2 ** 48
/** Names become fields of lines and log lines. */
const name = z.string().min(1).max(MAX_NAME_LENGTH).regex(/^[^\p{Cc}\p{Cs}]*$/u, 'must not contain control characters or lone surrogates')
const count = z.int().min(0)

/** Schema of an announcement. */
export const announcementSchema = z.object({
  service: name,
  database: name,
  instance: name,
  dataCentre: name,
  address: z.object({ host: z.string().refine((host) => isIP(host) !== 0, 'must be an IP address'), port: z.int().min(1).max(MAX_PORT) }),
  role: z.enum(['primary', 'replica']),
  term: count,
  position: z.object({ term: count, offset: count }),
  state: z.enum(['serving', 'leaving']),
  startedAt: count.optional(),
  sequence: count.max(MAX_SEQUENCE).optional(),
  slots: z.int().min(1).max(MAX_SLOTS).optional(),
})

/**
 * Validates a received announcement; the error names the first invalid field. No process can have started after `latestStart`, in
 * Unix ms with the largest difference between clocks.
 */
export function checkAnnouncement (raw: unknown, latestStart = Infinity): Result<Announcement, BriarpickError> {
  const checked = announcementSchema.safeParse(raw)
  if (!checked.success) return Result.err(announcementError(describeIssue(checked.error)))
  const { startedAt = 0 } = checked.data
  return startedAt > latestStart ? Result.err(announcementError('startedAt: is in the future')) : Result.ok(checked.data)
}

function announcementError (message: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_USAGE', `announcement: ${message}`, {
    hint: 'send service, database, instance, dataCentre, address, role, term, position and state',
  })
}
