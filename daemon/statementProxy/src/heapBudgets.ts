import v8 from 'node:v8'
import { CALLER_QUEUE_LIMITS, MAX_UNREAD_TOTAL_BYTES, SESSION_MEMORY_LIMITS } from '@briarpick/statement-entry'
import { ANSWER_LIMITS } from '@briarpick/statement-home'
import { createLogger } from '@briarpick/logs'

/** Callers for which the budgets of a proxy are made: as many as the descriptors of a small VM allow. */
const MAX_CALLERS = 4096
/** Part of the heap that budgets may use; the rest is for the program and for garbage. */
export const BUDGET_SHARE = 0.8
const log = createLogger('proxy')

/**
 * What callers and targets can make a proxy hold in its heap, by what is held, in bytes. Begun messages are not in the heap, and are
 * therefore not counted.
 */
export const PROXY_HEAP_BUDGETS: Readonly<Record<string, number>> = {
  arrivingAnswers: ANSWER_LIMITS.totalBytes,
  unreadAnswers: MAX_UNREAD_TOTAL_BYTES,
  waitingMessages: CALLER_QUEUE_LIMITS.totalBytes,
  sessions: SESSION_MEMORY_LIMITS.totalBytes,
  protectedSessions: SESSION_MEMORY_LIMITS.protectedBytes * MAX_CALLERS,
}

/** Sum of budgets, in bytes. */
export function sumBudgets (budgets: Readonly<Record<string, number>>): number {
  return Object.values(budgets).reduce((sum, bytes) => sum + bytes, 0)
}

/** Logs an error if the heap of this process is too small for what a proxy may hold. */
export function checkProxyHeap (heapBytes = v8.getHeapStatistics().heap_size_limit): void {
  const budgetBytes = sumBudgets(PROXY_HEAP_BUDGETS)
  if (budgetBytes > heapBytes * BUDGET_SHARE) log('heapTooSmall', { budgetBytes, heapBytes })
}
