import { type StatementRequest } from '@briarpick/types'

/** A read outside a transaction. */
export const READ: StatementRequest = {
  id: 'r',
  team: 'a',
  database: 'd',
  action: { kind: 'query', access: 'read', text: 'READ a' },
  values: [],
  freshness: { current: false, maxAgeMs: 1000, seen: null },
  priority: 1,
  aimMs: 100,
  ageMs: 0,
  deadlineMs: 1000,
  transaction: null,
  begins: null,
  beginId: null,
}
