import { type Operation } from './loadTypes.js'

/** Rows of one database, as read after a load: how often each id is there. */
export interface RowCounts {
  readonly database: string
  readonly readings: ReadonlyMap<string, number>
  readonly filings: ReadonlyMap<string, number>
}

/** Compares what callers were told with what the databases hold; each line is a broken promise. */
export function checkWrites (operations: readonly Operation[], found: readonly RowCounts[]): readonly string[] {
  return operations.flatMap((operation) => {
    if (operation.kind !== 'write' && operation.kind !== 'keyedWrite') return []
    const rows = found.find(({ database }) => database === operation.database)
    const table = operation.kind === 'write' ? rows?.readings : rows?.filings
    return checkWrite(operation, table?.get(operation.id) ?? 0)
  })
}

function checkWrite ({ database, id, outcome, code, attempts }: Operation, copies: number): readonly string[] {
  const where = `${id} of ${database} (${outcome}${code === undefined ? '' : ` ${code}`}, ${attempts} attempts)`
  if (copies > 1) return [`${where} is there ${copies} times`]
  if (outcome === 'done' && copies === 0) return [`${where} was acknowledged and is lost`]
  if (outcome === 'refused' && copies > 0) return [`${where} was refused and ran`]
  return []
}
