import { type Operation } from './loadTypes.js'

/** Number of rows of each id in the tables of one database, read after a load. */
export interface RowCounts {
  readonly database: string
  readonly readings: ReadonlyMap<string, number>
  readonly filings: ReadonlyMap<string, number>
}

/** Compares the outcomes that callers observed with the rows in the databases; returns one line for each violation. */
export function checkWrites (operations: readonly Operation[], rowCounts: readonly RowCounts[]): readonly string[] {
  return operations.flatMap((operation) => {
    if (operation.kind !== 'write' && operation.kind !== 'keyedWrite') return []
    const rows = rowCounts.find(({ database }) => database === operation.database)
    const table = operation.kind === 'write' ? rows?.readings : rows?.filings
    return checkWrite(operation, table?.get(operation.id) ?? 0)
  })
}

function checkWrite ({ database, id, outcome, code, attempts }: Operation, rowCount: number): readonly string[] {
  const subject = `${id} of ${database} (${outcome}${code === undefined ? '' : ` ${code}`}, ${attempts} attempts)`
  if (rowCount > 1) return [`${subject} has ${rowCount} rows`]
  if (outcome === 'done' && rowCount === 0) return [`${subject} was acknowledged but has no row`]
  if (outcome === 'refused' && rowCount > 0) return [`${subject} was refused but has a row`]
  return []
}
