import { type LogPosition } from '@briarpick/types'
import { type GroupStatus } from '@briarpick/pg-target'
import { type HomeContext } from './homeContext.js'
import { outcomeUnknown } from './refusals.js'

/** Waits until the in-sync replicas hold what the primary had when it answered; fails if that can't be shown in time. */
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
  const held = await beforeDeadline(context.durability.wait(status.position), deadline)
  if (held === undefined) throw outcomeUnknown(database, 'the replicas did not store it in time')
  if (!held || context.view().term !== term) throw outcomeUnknown(database, 'the primary was lost before the replicas stored it')
  context.noteAcknowledged(status.position)
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
