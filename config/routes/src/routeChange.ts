import { type Route, type RouteChange, type RouteTable, type Team } from '@briarpick/types'

type TeamChange = NonNullable<RouteChange['teams']>

/** Computes the change that turns the version `from` into the version `to`. */
export function diffRouteTables (from: RouteTable, to: RouteTable): RouteChange {
  return {
    fromVersion: from.version,
    version: to.version,
    ...diffByName(from.routes, to.routes, isSameRoute),
    databases: to.databases,
    transactionIdleMs: to.transactionIdleMs,
    ...to.teams === undefined ? {} : { teams: diffByName(from.teams ?? [], to.teams, isSameTeam) satisfies TeamChange },
  }
}

/** Applies a change and returns the resulting version; undefined if the change is not based on the table's version. */
export function applyRouteChange (table: RouteTable, change: RouteChange): RouteTable | undefined {
  if (change.fromVersion !== table.version) return undefined
  const { version, databases, transactionIdleMs, teams } = change
  return {
    version,
    routes: applyByName(table.routes, change),
    databases,
    transactionIdleMs,
    ...teams === undefined ? {} : { teams: applyByName(table.teams ?? [], teams) },
  }
}

interface Named {
  readonly name: string
}

/** Items that were added or changed, and names of those removed. */
interface NamedChange<T extends Named> {
  readonly changed: readonly T[]
  readonly removed: readonly string[]
}

function diffByName<T extends Named> (from: readonly T[], to: readonly T[], isSame: (a: T, b: T) => boolean): NamedChange<T> {
  const previous = new Map(from.map((item) => [item.name, item]))
  const remainingNames = new Set(to.map(({ name }) => name))
  const isUnchanged = (item: T) => {
    const before = previous.get(item.name)
    return before !== undefined && isSame(item, before)
  }
  return {
    changed: to.filter((item) => !isUnchanged(item)),
    removed: from.map(({ name }) => name).filter((name) => !remainingNames.has(name)),
  }
}

function applyByName<T extends Named> (items: readonly T[], { changed, removed }: NamedChange<T>): readonly T[] {
  const byName = new Map(items.map((item) => [item.name, item]))
  for (const name of removed) byName.delete(name)
  for (const item of changed) byName.set(item.name, item)
  return [...byName.values()]
}

function isSameRoute (a: Route, b: Route): boolean {
  const keys = Object.keys(a) as ReadonlyArray<keyof Route>
  return keys.length === Object.keys(b).length && keys.every((key) => a[key] === b[key])
}

function isSameTeam (a: Team, b: Team): boolean {
  return a.ratePerS === b.ratePerS && a.burst === b.burst &&
    a.keyDigests.length === b.keyDigests.length && a.keyDigests.every((digest, i) => digest === b.keyDigests[i])
}
