import { type DatabaseView, type TargetReport } from '@briarpick/types'

/**
 * True if the view is open and every member serves and responds in the role and term of the view; control then needs no
 * reports of individual targets.
 */
export function matchesView (view: DatabaseView, reports: readonly TargetReport[]): boolean {
  if (view.state !== 'open' || view.members.some(({ state }) => state !== 'serving')) return false
  return reports.every(({ instance, reachability, role, term }) => {
    const expected = instance === view.primary ? 'primary' : 'replica'
    return reachability === 'ok' && role === expected && term === view.term
  })
}
