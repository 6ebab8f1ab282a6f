import { setTimeout as sleep } from 'node:timers/promises'
import { type Address, formatAddress, type RenewResult } from '@briarpick/types'
import { type FoundLeader } from '@briarpick/control-finder'

/** Options of the wait for an answer. */
export interface AwaitAnswerOptions {
  /** The answer of the leader to a renewal; rejects if it is given up. */
  readonly answer: Promise<RenewResult>
  readonly leader: Address
  /** Searches for a leader after the present one has been silent; ends at the abort. */
  readonly findSuccessor: (signal: AbortSignal) => Promise<FoundLeader | undefined>
}

/** The answer, or a leader that was found before it came. */
export type AnswerOutcome =
  | { readonly kind: 'answered', readonly answer: RenewResult }
  | { readonly kind: 'found', readonly leader: Address }

/** Silence of a leader after which another one is looked for, in ms. */
const SILENT_AFTER_MS = 250

/**
 * Waits for the answer to a renewal. A leader that is silent is replaced as soon as another one is found; one that still names itself is
 * only slow, or its connection is lost: it gets as much time again.
 */
export async function awaitAnswer ({ answer, leader, findSuccessor }: AwaitAnswerOptions): Promise<AnswerOutcome> {
  const answered = answer.then((result): AnswerOutcome => ({ kind: 'answered', answer: result }))
  const silent = async () => await sleep(SILENT_AFTER_MS, undefined, { ref: false })
  const first = await Promise.race([answered, silent()])
  if (first !== undefined) return first
  for (;;) {
    const search = new AbortController()
    const found = findSuccessor(search.signal).then((response): AnswerOutcome | undefined => response && { kind: 'found', leader: response.leader })
    const next = await Promise.race([answered, found]).finally(() => search.abort())
    if (next === undefined) continue
    if (next.kind === 'answered' || formatAddress(next.leader) !== formatAddress(leader)) return next
    return await Promise.race([answered, silent()]) ?? next
  }
}
