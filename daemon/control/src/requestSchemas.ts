import * as z from 'zod'
import { type Announcement, type ControlCommand, type RenewRequest, type SameShape } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { checkAnnouncement } from '@briarpick/membership'
import { describeIssue, listOf } from '@briarpick/schema'
import { type LeaderRequest, type LeaderResponse } from '@briarpick/control-finder'
import { type NodeId, type RaftMessage } from '@briarpick/consensus-agreement'
import { type FoundingRequest, type FoundingResponse } from '@briarpick/consensus-founding'

const MAX_PORT = 65_535
/** Number of announcements in a renewal that may be unusable; the rest is left out. */
const MAX_UNUSABLE_ANNOUNCEMENTS = 64
const count = z.int().min(0)
const name = z.string().min(1)
const address = z.object({ host: name, port: z.int().min(1).max(MAX_PORT) })
const position = z.object({ term: count, offset: count })
const role = z.enum(['primary', 'replica'])

const homeReport = z.object({
  database: name,
  epoch: count,
  term: count,
  targets: listOf(z.object({
    instance: name,
    reachability: z.enum(['ok', 'refused', 'silent']),
    silentMs: z.number(),
    role: role.nullable(),
    term: count,
    position,
  })),
  committed: position,
  promoted: name.nullable(),
  promotedTerm: count.optional(),
  confirmedLoss: count.optional(),
  promotion: z.object({ fromTerm: count, heir: name, raisesTerm: z.boolean().optional() }).nullable().optional(),
  wantInSync: listOf(name).nullable(),
  released: z.boolean(),
  teamShares: z.object({
    version: z.tuple([count, count]),
    base: z.number().min(0).max(1).optional(),
    shares: listOf(z.object({ team: name, share: z.number().min(0).max(1) })).optional(),
  }).optional(),
  teamDemand: listOf(z.object({ team: name, wanted: z.number().min(0) })).optional(),
  teamLoans: listOf(z.object({ team: name, tokens: z.number().min(0) })).optional(),
})

const renewSchema = tied<RenewRequest>()(z.object({
  proxy: name,
  incarnation: name,
  dataCentre: name,
  linkAddress: address,
  rpcAddress: address,
  seen: count,
  bundleVersion: count,
  routesVersion: count.optional(),
  needsWholeRoutes: z.boolean().optional(),
  homeFitness: z.number().min(0).max(1).optional(),
  overloaded: z.boolean().optional(),
  listeningMs: z.number().min(0).optional(),
  leaving: z.boolean(),
  homes: listOf(homeReport),
  // One that cannot be used is left out: it must not cost the proxy its lease.
  announcements: listOf(z.unknown()).transform(usableAnnouncements),
  witnessed: listOf(z.object({ database: name, instance: name, term: count, reachable: z.boolean() })),
}))

const voterSet = z.object({ voters: listOf(name), learners: listOf(name) })
const entry = z.object({
  index: z.int().min(1),
  term: count,
  body: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('command'), command: z.custom<ControlCommand>(hasKind) }),
    z.object({ kind: z.literal('voters'), set: voterSet }),
  ]),
})
const snapshot = z.object({ index: count, term: count, voters: voterSet, state: z.unknown() })

const restartRequest = z.object({ asker: count, sentAt: z.number() })
const restartReply = restartRequest.extend({ process: count, upMs: z.number() })

const messageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('voteRequest'),
    pre: z.boolean(),
    term: count,
    lastIndex: count,
    lastTerm: count,
    transfer: z.boolean().optional(),
    restart: restartRequest.optional(),
    newProcess: count.optional(),
  }),
  z.object({ kind: z.literal('timeoutNow'), term: count }),
  z.object({ kind: z.literal('voteReply'), pre: z.boolean(), term: count, granted: z.boolean(), restart: restartReply.optional() }),
  z.object({
    kind: z.literal('append'), term: count, prevIndex: count, prevTerm: count, entries: listOf(entry), commit: count, sentAt: z.number(),
  }),
  z.object({ kind: z.literal('appendReply'), term: count, ok: z.boolean(), match: z.int(), sentAt: z.number() }),
  z.object({ kind: z.literal('install'), term: count, snapshot, sentAt: z.number() }),
])

const envelopeSchema = tied<RaftEnvelope>()(z.object({ from: name, to: name, message: messageSchema }))
const joinSchema = z.object({ id: z.string().regex(/^[\w.:-]+:[\w-]+$/, 'must have the form NODE:INCARNATION') })
const leaderSchema = tied<LeaderRequest>()(z.object({ failed: address.optional(), waitMs: z.number().min(0).optional() }))
const leaderResponseSchema = tied<LeaderResponse>()(z.object({
  leader: address.nullable(),
  controls: listOf(address),
  term: count.optional(),
  ageMs: z.number().min(0).optional(),
}))

const names = z.array(name)
const ballot = z.object({ round: z.int().min(1), proposer: name })
const foundingRequestSchema = tied<FoundingRequest>()(z.object({
  candidate: name.nullable(),
  ballot: ballot.optional(),
  voters: names.min(1).optional(),
  chosen: names.min(1).optional(),
}))
const foundingResponseSchema = tied<FoundingResponse>()(z.object({
  vote: z.object({ promised: ballot.nullable(), accepted: z.object({ ballot, voters: names.min(1) }).nullable() }).nullable(),
  candidates: names,
  chosen: names.min(1).nullable(),
}))

/** A consensus message with its sender and receiver. */
export interface RaftEnvelope {
  readonly from: NodeId
  readonly to: NodeId
  readonly message: RaftMessage<ControlCommand>
}

/**
 * Ties a schema to the type of what it checks: a field that one of them lacks or names differently does not compile. Unknown fields
 * are dropped, so such a field would otherwise be lost on its way without an error.
 */
function tied<T> () {
  return <S extends z.ZodType>(schema: SameShape<z.output<S>, T> extends true ? S : never) => schema as unknown as z.ZodType<T>
}

/** True for anything that can be a command: its handler may know it even if this version does not. */
function hasKind (raw: unknown): boolean {
  return typeof raw === 'object' && raw !== null && 'kind' in raw && typeof raw.kind === 'string' && raw.kind !== ''
}

/** Announcements up to the point where `MAX_UNUSABLE_ANNOUNCEMENTS` could not be used. */
function usableAnnouncements (list: readonly unknown[]): readonly Announcement[] {
  const usable: Announcement[] = []
  for (const [i, raw] of list.entries()) {
    if (i - usable.length >= MAX_UNUSABLE_ANNOUNCEMENTS) break
    const checked = checkAnnouncement(raw)
    if (checked.isOk) usable.push(checked.value)
  }
  return usable
}

function check<T> (method: string, schema: z.ZodType<T>, raw: unknown): T {
  const checked = schema.safeParse(raw)
  if (checked.success) return checked.data
  throw new BriarpickError('ERR_BRIARPICK_USAGE', `${method}: ${describeIssue(checked.error)}`, {
    hint: 'check that both ends run the same version',
  })
}

/** Validates a lease renewal; throws ERR_BRIARPICK_USAGE if it is malformed. */
export function checkRenewRequest (raw: unknown): RenewRequest {
  return check('control.renew', renewSchema, raw)
}

/** Validates a consensus message of another control node; throws ERR_BRIARPICK_USAGE if it is malformed. */
export function checkRaftEnvelope (raw: unknown): RaftEnvelope {
  return check('agreement.message', envelopeSchema, raw)
}

/** Validates a join request; throws ERR_BRIARPICK_USAGE if it is malformed. */
export function checkJoinRequest (raw: unknown): { readonly id: NodeId } {
  return check('control.join', joinSchema, raw)
}

/** Validates a leader request; throws ERR_BRIARPICK_USAGE if it is malformed. */
export function checkLeaderRequest (raw: unknown): LeaderRequest {
  return check('control.leader', leaderSchema, raw)
}

/** Validates a response to a leader request, or a leader notice, which has the same form; throws ERR_BRIARPICK_USAGE if it is malformed. */
export function checkLeaderResponse (raw: unknown): LeaderResponse {
  return check('control.leader', leaderResponseSchema, raw)
}

/** Validates a request of a candidate for the first voters; throws ERR_BRIARPICK_USAGE if it is malformed. */
export function checkFoundingRequest (raw: unknown): FoundingRequest {
  return check('control.founding', foundingRequestSchema, raw)
}

/** Validates the response to such a request; throws ERR_BRIARPICK_USAGE if it is malformed. */
export function checkFoundingResponse (raw: unknown): FoundingResponse {
  return check('control.founding', foundingResponseSchema, raw)
}
