import { columnName, coerce, compareValues, evaluate, type Node, type Scope, toText, typeName, unsupportedError } from './expressions.js'
import { type Ledger, type Row, SqlError, type TableDef, type Transaction, type Value } from './createLedger.js'

/** Result of a statement. */
export interface StatementResult {
  /** Null if the statement returns no rows; typeId is the OID of a PostgreSQL type. */
  readonly columns: ReadonlyArray<{ readonly name: string, readonly typeId: number }> | null
  readonly rows: ReadonlyArray<ReadonlyArray<string | null>>
  /** Tag of CommandComplete, such as `SELECT 1`. */
  readonly tag: string
}

/** Ledger and transaction that a statement runs in, with its scope. */
export interface RunContext extends Scope {
  readonly ledger: Ledger
  readonly tx: Transaction
  /** False on a replica. */
  readonly writable: boolean
}

type StatementRunner = (node: Node, context: RunContext) => StatementResult

/** OIDs of PostgreSQL types, by name. */
const TYPE_IDS: Readonly<Record<string, number>> = {
  int2: 23, int4: 23, serial: 23, int8: 20, bigserial: 20, bool: 16, float8: 701, numeric: 1700,
}
const TEXT_TYPE_ID = 25
const INT8_TYPE_ID = 20

const STATEMENT_RUNNERS: Readonly<Record<string, StatementRunner>> = {
  SelectStmt: select,
  InsertStmt: (node, context) => runWrite(context, () => insert(node, context)),
  UpdateStmt: (node, context) => runWrite(context, () => update(node, context)),
  DeleteStmt: (node, context) => runWrite(context, () => deleteRows(node, context)),
  CreateStmt: (node, context) => runWrite(context, () => createTable(node, context)),
  VariableSetStmt: () => commandResult('SET'),
  VariableShowStmt: (node) => ({ columns: [{ name: node.name, typeId: TEXT_TYPE_ID }], rows: [['']], tag: 'SHOW' }),
}

/** Runs one parsed statement other than transaction control. Throws SqlError. */
export function runStatement (statement: Node, context: RunContext): StatementResult {
  const [kind] = Object.keys(statement)
  const runner = STATEMENT_RUNNERS[kind]
  if (runner === undefined) throw unsupportedError(`statements of kind ${kind}`)
  return runner(statement[kind], context)
}

/** Columns that a statement returns; null if it returns no rows. Throws SqlError. */
export function describeStatement (statement: Node, context: RunContext): StatementResult['columns'] {
  const [kind] = Object.keys(statement)
  const node = statement[kind]
  if (kind === 'SelectStmt') return outputColumns(node.targetList ?? [], sourceTable(node, context))
  if (kind === 'VariableShowStmt') return [{ name: node.name, typeId: TEXT_TYPE_ID }]
  if (node.returningClause === undefined) return null
  return outputColumns(node.returningClause.exprs, context.ledger.tableDef(context.tx, node.relation.relname))
}

function runWrite (context: RunContext, run: () => StatementResult): StatementResult {
  if (!context.writable) throw new SqlError('25006', 'cannot execute a write in a read-only transaction')
  return run()
}

function commandResult (tag: string): StatementResult {
  return { columns: null, rows: [], tag }
}

function sourceTable (node: Node, context: RunContext): TableDef | undefined {
  if (node.fromClause === undefined) return undefined
  const [from] = node.fromClause
  if (node.fromClause.length > 1 || from.RangeVar === undefined) throw unsupportedError('joins and functions in FROM')
  return context.ledger.tableDef(context.tx, from.RangeVar.relname)
}

function findRows (table: TableDef, where: Node | undefined, context: RunContext): Array<readonly [string, Row]> {
  const keyValue = where === undefined ? undefined : primaryKeyValue(where, table, context)
  if (keyValue !== undefined) {
    const row = context.ledger.rowOf(context.tx, table.name, String(keyValue))
    const matches = row !== undefined && evaluate(where, { ...context, row }) === true
    return matches ? [[String(keyValue), row]] : []
  }
  const found = []
  for (const [id, row] of context.ledger.rows(context.tx, table.name)) {
    if (where === undefined || evaluate(where, { ...context, row }) === true) found.push([id, row] as const)
  }
  return found
}

/** Value to which a condition restricts the primary key, alone or as an operand of AND; undefined if it does not. */
function primaryKeyValue (where: Node, table: TableDef, context: RunContext): Value | undefined {
  if (where.BoolExpr?.boolop === 'AND_EXPR') {
    for (const arg of where.BoolExpr.args) {
      const value = primaryKeyValue(arg, table, context)
      if (value !== undefined) return value
    }
  }
  const expr = where.A_Expr
  if (expr === undefined || expr.name[0].String.sval !== '=' || expr.lexpr?.ColumnRef === undefined) return undefined
  if (columnName(expr.lexpr.ColumnRef) !== table.key || expr.rexpr.ColumnRef !== undefined) return undefined
  return evaluate(expr.rexpr, { ...context, row: undefined })
}

function outputColumns (targets: readonly Node[], table: TableDef | undefined): NonNullable<StatementResult['columns']> {
  return targets.flatMap((target) => {
    const { val, name } = target.ResTarget
    if (val.ColumnRef !== undefined && columnName(val.ColumnRef) === '*') {
      return (table?.columns ?? []).map((column) => ({ name: column.name, typeId: typeId(column.type) }))
    }
    if (val.ColumnRef !== undefined) {
      const column = table?.columns.find((candidate) => candidate.name === columnName(val.ColumnRef))
      return [{ name: name ?? columnName(val.ColumnRef), typeId: typeId(column?.type ?? 'text') }]
    }
    return [{ name: name ?? val.FuncCall?.funcname.at(-1).String.sval ?? '?column?', typeId: expressionTypeId(val) }]
  })
}

function typeId (type: string): number {
  return TYPE_IDS[type] ?? TEXT_TYPE_ID
}

function expressionTypeId (val: Node): number {
  if (val.FuncCall?.funcname.at(-1).String.sval === 'count') return INT8_TYPE_ID
  if (val.A_Const?.ival !== undefined) return TYPE_IDS.int4
  return val.TypeCast === undefined ? TEXT_TYPE_ID : typeId(typeName(val.TypeCast.typeName))
}

function projectRow (targets: readonly Node[], scope: Scope): Array<string | null> {
  return targets.flatMap((target) => {
    const { val } = target.ResTarget
    const isStar = val.ColumnRef !== undefined && columnName(val.ColumnRef) === '*'
    return isStar ? Object.values(scope.row ?? {}).map(toText) : [toText(evaluate(val, scope))]
  })
}

const AGGREGATES: Readonly<Record<string, (values: readonly Value[]) => Value>> = {
  count: (values) => values.length,
  sum: (values) => values.length === 0 ? null : values.reduce<number>((total, value) => total + Number(value), 0),
  max: (values) => values.reduce<Value>((maximum, value) => maximum === null || compareValues(value, maximum) > 0 ? value : maximum, null),
  min: (values) => values.reduce<Value>((minimum, value) => minimum === null || compareValues(value, minimum) < 0 ? value : minimum, null),
}

function aggregateName (target: Node): string | undefined {
  const name = target.ResTarget.val.FuncCall?.funcname.at(-1).String.sval
  return name !== undefined && name in AGGREGATES ? name : undefined
}

function aggregate (target: Node, rows: readonly Row[], context: RunContext): string | null {
  const call = target.ResTarget.val.FuncCall
  const values = call.agg_star === true ? rows.map(() => 1) : rows.map((row) => evaluate(call.args[0], { ...context, row }))
  return toText(AGGREGATES[aggregateName(target) ?? ''](values.filter((value) => value !== null)))
}

function select (node: Node, context: RunContext): StatementResult {
  if (node.groupClause !== undefined || node.op !== 'SETOP_NONE' || node.withClause !== undefined) throw unsupportedError('GROUP BY, WITH and set operations')
  const table = sourceTable(node, context)
  const targets: readonly Node[] = node.targetList ?? []
  const columns = outputColumns(targets, table)
  if (table === undefined) return { columns, rows: [projectRow(targets, context)], tag: 'SELECT 1' }
  const found = findRows(table, node.whereClause, context).map(([, row]) => row)
  if (targets.length > 0 && targets.every((target) => aggregateName(target) !== undefined)) {
    return { columns, rows: [targets.map((target) => aggregate(target, found, context))], tag: 'SELECT 1' }
  }
  const sorted = sortRows(found, node.sortClause, context)
  const limit = node.limitCount === undefined ? sorted.length : Number(evaluate(node.limitCount, context))
  const rows = sorted.slice(0, limit).map((row) => projectRow(targets, { ...context, row }))
  return { columns, rows, tag: `SELECT ${rows.length}` }
}

function sortRows (rows: readonly Row[], sortClause: readonly Node[] | undefined, context: RunContext): readonly Row[] {
  if (sortClause === undefined) return rows
  return [...rows].sort((a, b) => {
    for (const { SortBy: sort } of sortClause) {
      const order = compareValues(evaluate(sort.node, { ...context, row: a }), evaluate(sort.node, { ...context, row: b }))
      if (order !== 0) return sort.sortby_dir === 'SORTBY_DESC' ? -order : order
    }
    return 0
  })
}

function returning (node: Node, table: TableDef, rows: readonly Row[], tag: string, context: RunContext): StatementResult {
  if (node.returningClause === undefined) return commandResult(tag)
  const targets = node.returningClause.exprs
  return { columns: outputColumns(targets, table), rows: rows.map((row) => projectRow(targets, { ...context, row })), tag }
}

function insert (node: Node, context: RunContext): StatementResult {
  const { ledger, tx } = context
  const table = ledger.tableDef(tx, node.relation.relname)
  const names: string[] = node.cols?.map((col: Node) => col.ResTarget.name) ?? table.columns.map((column) => column.name)
  const inserted: Row[] = []
  for (const list of node.selectStmt?.SelectStmt.valuesLists ?? []) {
    const values: Value[] = list.List.items.map((item: Node) => evaluate(item, context))
    const row = newRow(table, names, values)
    const id = table.key === null ? ledger.newRowId() : String(row[table.key])
    if (ledger.rowOf(tx, table.name, id) !== undefined) {
      if (node.onConflictClause?.action === 'ONCONFLICT_NOTHING') continue
      throw new SqlError('23505', `duplicate key value violates unique constraint "${table.name}_pkey"`)
    }
    ledger.write(tx, table.name, id, row)
    inserted.push(row)
  }
  return returning(node, table, inserted, `INSERT 0 ${inserted.length}`, context)
}

function newRow (table: TableDef, names: readonly string[], values: readonly Value[]): Row {
  const unknown = names.find((name) => !table.columns.some((column) => column.name === name))
  if (unknown !== undefined) throw new SqlError('42703', `column "${unknown}" of relation "${table.name}" does not exist`)
  return Object.fromEntries(table.columns.map((column) => {
    const index = names.indexOf(column.name)
    return [column.name, index < 0 ? column.fallback : coerce(values[index], column.type)]
  }))
}

function update (node: Node, context: RunContext): StatementResult {
  const { ledger, tx } = context
  const table = ledger.tableDef(tx, node.relation.relname)
  const updated = findRows(table, node.whereClause, context).map(([id, row]) => {
    const next: Record<string, Value> = { ...row }
    for (const { ResTarget: target } of node.targetList) {
      const column = table.columns.find((candidate) => candidate.name === target.name)
      if (column === undefined) throw new SqlError('42703', `column "${target.name}" does not exist`)
      next[target.name] = coerce(evaluate(target.val, { ...context, row }), column.type)
    }
    ledger.write(tx, table.name, id, next)
    return next
  })
  return returning(node, table, updated, `UPDATE ${updated.length}`, context)
}

function deleteRows (node: Node, context: RunContext): StatementResult {
  const { ledger, tx } = context
  const table = ledger.tableDef(tx, node.relation.relname)
  const found = findRows(table, node.whereClause, context)
  for (const [id] of found) ledger.write(tx, table.name, id, null)
  return returning(node, table, found.map(([, row]) => row), `DELETE ${found.length}`, context)
}

function createTable (node: Node, context: RunContext): StatementResult {
  const { ledger, tx } = context
  const name = node.relation.relname
  if (ledger.hasTable(tx, name)) {
    if (node.if_not_exists === true) return commandResult('CREATE TABLE')
    throw new SqlError('42P07', `relation "${name}" already exists`)
  }
  const defs = node.tableElts.filter((element: Node) => element.ColumnDef !== undefined).map((element: Node) => element.ColumnDef)
  const isPrimaryKey = (def: Node) => def.constraints?.some((constraint: Node) => constraint.Constraint.contype === 'CONSTR_PRIMARY') === true
  const tableConstraint = node.tableElts.find((element: Node) => element.Constraint?.contype === 'CONSTR_PRIMARY')
  const columns = defs.map((def: Node) => ({ name: def.colname, type: typeName(def.typeName), fallback: null }))
  const key = defs.find(isPrimaryKey)?.colname ?? tableConstraint?.Constraint.keys[0].String.sval ?? null
  ledger.createTable(tx, { name, columns, key })
  return commandResult('CREATE TABLE')
}
