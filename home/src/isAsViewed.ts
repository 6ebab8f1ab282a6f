import { type DatabaseView, type TargetReport } from '@briarpick/types'

/** True if every member serves and answers, in the part and term that an open view gives it: control then needs no details. */
export function isAsViewed (view: DatabaseView, reports: readonly TargetReport[]): boolean {
  if (view.state !== 'open' || view.members.some(({ state }) => state !== 'serving')) return false
  return reports.every(({ instance, reachability, role, term }) => {
    const expected = instance === view.primary ? 'primary' : 'replica'
    return reachability === 'ok' && role === expected && term === view.term
  })
}
