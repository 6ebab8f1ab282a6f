import { type LogPosition } from '@briarpick/types'
import { type GroupStatus } from '@briarpick/pg-target'
import { type HomeContext } from './homeContext.js'
import { outcomeUnknown } from './homeErrors.js'

/**
 * Waits until the required replicas have reached the position that the primary reported after the write. Throws an
 * outcome-unknown error if that is not confirmed before the deadline.
 */
export async function awaitDurable (
  context: HomeContext,
  status: GroupStatus | undefined,
  term: number,
  deadline: number
): Promise<LogPosition> {
  const { database } = context
  if (status === undefined || status.role !== 'primary' || status.term !== term) {
    throw outcomeUnknown(database, 'the primary was replaced while the write ran')
  }
  const replicated = await beforeDeadline(context.durability.wait(status.position), deadline)
  if (replicated === undefined) throw outcomeUnknown(database, 'the replicas did not confirm it before the deadline')
  if (!replicated || context.view().term !== term) throw outcomeUnknown(database, 'the primary was lost before the replicas confirmed it')
  context.recordAcknowledged(status.position)
  return status.position
}

function beforeDeadline (promise: Promise<boolean>, deadline: number): Promise<boolean | undefined> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(undefined), Math.max(0, deadline - performance.now()))
    promise.then((value) => {
      clearTimeout(timer)
      resolve(value)
    }, () => resolve(false))
  })
}
