import { isIP } from 'node:net'
import { Result } from 'true-myth'
import * as z from 'zod'
import { type Announcement } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'

const MAX_NAME_LENGTH = 128
const MAX_PORT = 65_535
const name = z.string().min(1).max(MAX_NAME_LENGTH)
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
  sequence: count.optional(),
  slots: z.int().min(1).optional(),
})

/** Validates a received announcement; the error names the first invalid field. */
export function checkAnnouncement (raw: unknown): Result<Announcement, BriarpickError> {
  const checked = announcementSchema.safeParse(raw)
  if (checked.success) return Result.ok(checked.data)
  const [issue] = checked.error.issues
  return Result.err(new BriarpickError('ERR_BRIARPICK_USAGE', `announcement: ${issue.path.join('.')}: ${issue.message}`, {
    hint: 'send service, database, instance, dataCentre, address, role, term, position and state',
  }))
}
