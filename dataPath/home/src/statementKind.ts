import { type StatementRequest } from '@briarpick/types'

/** Kind of work that a request is: requests of one kind are expected to hold a slot for about the same time. */
export function statementKind ({ transaction, begins, action, freshness, priority }: StatementRequest): string {
  const access = action.kind === 'query' || action.kind === 'execute' ? action.access : action.kind
  const place = transaction === null ? 'single' : begins === null ? 'inside' : 'first'
  const consistency = freshness.current ? 'current' : `${freshness.maxAgeMs}`
  return `${place} ${access} ${consistency} ${priority}`
}
