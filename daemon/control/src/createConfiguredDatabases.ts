import { type RouteTable } from '@briarpick/types'

/** Creates a test for whether the routes in force name a database; they are read again when the table has changed. */
export function createConfiguredDatabases (routes: () => RouteTable | undefined): (database: string) => boolean {
  let known: RouteTable | undefined
  let databases: ReadonlySet<string> = new Set()
  return (database) => {
    const table = routes()
    if (table !== known) {
      known = table
      databases = new Set(table?.databases.map((each) => each.database))
    }
    return databases.has(database)
  }
}
