import { randomUUID } from 'node:crypto'
import { type LogPosition } from '@briarpick/types'

/** A value of a column. */
export type Value = string | number | boolean | null

/** A row of a table. */
export type Row = Readonly<Record<string, Value>>

/** A table's columns and its primary key. */
export interface TableDef {
  readonly name: string
  readonly columns: ReadonlyArray<{ readonly name: string, readonly type: string, readonly fallback: Value }>
  readonly key: string | null
}

/** Log record of a committed transaction. */
export interface LedgerRecord {
  readonly term: number
  readonly committedAtMs: number
  readonly tables: readonly TableDef[]
  readonly changes: ReadonlyArray<{ readonly table: string, readonly id: string, readonly row: Row | null }>
  /** Texts of the statements that the transaction ran, in order. */
  readonly statements: readonly string[]
}

interface Table {
  readonly def: TableDef
  readonly rows: Map<string, Row>
}

/** An open transaction's changes, not yet applied to the committed rows. */
export interface Transaction {
  readonly tables: Map<string, TableDef>
  readonly changes: Map<string, Map<string, { readonly before: Row | undefined, readonly after: Row | null }>>
  readonly statements: string[]
}

/** Error of a statement, with its SQLSTATE. */
export class SqlError extends Error {
  constructor (readonly sqlState: string, message: string) {
    super(message)
  }
}

/** Starts a transaction. */
export function beginTransaction (): Transaction {
  return { tables: new Map(), changes: new Map(), statements: [] }
}

/** Creates a ledger: the log of an instance and the rows that result from it. */
export function createLedger () {
  let records: LedgerRecord[] = []
  let tables = new Map<string, Table>()

  function apply (record: LedgerRecord): void {
    for (const def of record.tables) tables.set(def.name, { def, rows: new Map() })
    for (const { table, id, row } of record.changes) {
      if (row === null) tables.get(table)?.rows.delete(id)
      else tables.get(table)?.rows.set(id, row)
    }
    records.push(record)
  }

  function committedRow (table: string, id: string): Row | undefined {
    return tables.get(table)?.rows.get(id)
  }

  function tableDef (tx: Transaction, name: string): TableDef {
    const def = tx.tables.get(name) ?? tables.get(name)?.def
    if (def === undefined) throw new SqlError('42P01', `relation "${name}" does not exist`)
    return def
  }

  function rowOf (tx: Transaction, table: string, id: string): Row | undefined {
    const change = tx.changes.get(table)?.get(id)
    return change === undefined ? committedRow(table, id) : change.after ?? undefined
  }

  return {
    records: (): readonly LedgerRecord[] => records,
    position (): LogPosition {
      const last = records.at(-1)
      return last === undefined ? { term: 0, offset: 0 } : { term: last.term, offset: records.length }
    },
    hasTable: (tx: Transaction, name: string) => tx.tables.has(name) || tables.has(name),
    tableDef,
    rowOf,
    /** Committed rows of a table with the transaction's changes. */
    * rows (tx: Transaction, table: string): Generator<readonly [string, Row]> {
      tableDef(tx, table)
      const tableChanges = tx.changes.get(table)
      for (const [id, row] of tables.get(table)?.rows ?? []) {
        if (tableChanges?.has(id) !== true) yield [id, row]
      }
      for (const [id, change] of tableChanges ?? []) {
        if (change.after !== null) yield [id, change.after]
      }
    },
    createTable (tx: Transaction, def: TableDef): void {
      tx.tables.set(def.name, def)
    },
    newRowId: () => randomUUID(),
    write (tx: Transaction, table: string, id: string, after: Row | null): void {
      const tableChanges = tx.changes.get(table) ?? new Map()
      const before = tableChanges.has(id) ? tableChanges.get(id).before : committedRow(table, id)
      tx.changes.set(table, tableChanges.set(id, { before, after }))
    },
    /** Commits a transaction. Throws SqlError 40001 if another one has changed one of its rows since: the first committer wins. */
    commit (tx: Transaction, term: number): void {
      if (tx.changes.size === 0 && tx.tables.size === 0) return
      const changes = []
      for (const [table, tableChanges] of tx.changes) {
        for (const [id, { before, after }] of tableChanges) {
          if (committedRow(table, id) !== before) throw new SqlError('40001', `row ${id} of ${table} was changed by a concurrent transaction`)
          changes.push({ table, id, row: after })
        }
      }
      apply({ term, committedAtMs: Date.now(), tables: [...tx.tables.values()], changes, statements: tx.statements })
    },
    replicate: apply,
    /** Removes the records after an offset and rebuilds the tables from the rest. */
    truncate (offset: number): void {
      const kept = records.slice(0, offset)
      records = []
      tables = new Map()
      for (const record of kept) apply(record)
    },
  }
}

/** A ledger. */
export type Ledger = ReturnType<typeof createLedger>
