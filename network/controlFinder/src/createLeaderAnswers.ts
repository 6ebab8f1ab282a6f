import { type Address, formatAddress } from '@briarpick/types'
import { type LeaderAnswer, type LeaderRequest } from './findLeader.js'

/** Options of answers about the leader. */
export interface LeaderAnswersOptions {
  readonly self: Address
  /** What this node knows now; read anew while questions wait. */
  readonly current: () => LeaderAnswer
}

/** Answers questions about the leader; a question waits here for a leader that is not known yet. */
export interface LeaderAnswers {
  readonly answer: (req: LeaderRequest) => Promise<LeaderAnswer>
}

/** Time between two looks while questions wait, in ms; one timer serves all of them. */
const LOOK_MS = 10
/** Longest time that a question waits, in ms, whatever it asks for. */
const MAX_WAIT_MS = 1000

interface Waiter {
  readonly req: LeaderRequest
  readonly until: number
  readonly resolve: (answer: LeaderAnswer) => void
}

/** Tells whether an answer names a leader that the asker may try: the one that failed may only name itself. */
export function namesLeader ({ leader }: LeaderAnswer, node: Address, failed: Address | undefined): boolean {
  return leader !== null && (!isSame(leader, failed) || isSame(node, failed))
}

/** Creates the answers of one node. */
export function createLeaderAnswers ({ self, current }: LeaderAnswersOptions): LeaderAnswers {
  let waiters: readonly Waiter[] = []
  let timer: NodeJS.Timeout | undefined

  function look (): void {
    const now = performance.now()
    const answer = current()
    const isOver = ({ req, until }: Waiter) => now >= until || namesLeader(answer, self, req.failed)
    const over = waiters.filter(isOver)
    waiters = waiters.filter((waiter) => !isOver(waiter))
    for (const { resolve } of over) resolve(answer)
    if (waiters.length > 0) return
    clearInterval(timer)
    timer = undefined
  }

  return {
    async answer (req) {
      const answer = current()
      const waitMs = Math.min(req.waitMs ?? 0, MAX_WAIT_MS)
      if (waitMs <= 0 || namesLeader(answer, self, req.failed)) return answer
      return await new Promise((resolve) => {
        waiters = [...waiters, { req, until: performance.now() + waitMs, resolve }]
        timer ??= setInterval(look, LOOK_MS).unref()
      })
    },
  }
}

function isSame (a: Address, b: Address | undefined): boolean {
  return b !== undefined && formatAddress(a) === formatAddress(b)
}
