import { type Row, SqlError, type Value } from './createLedger.js'

/** A node of the parser's syntax tree: an object with a single key, the node's kind. */
export type Node = any

/** Parameters, row and functions that an expression may refer to. */
export interface Scope {
  readonly params: readonly Value[]
  readonly row?: Row
  /** Calls a function of the instance; throws SqlError if there is none of that name. */
  readonly call: (name: string, args: readonly Value[]) => Value
}

/** Error for SQL that the stand-in does not implement. */
export function unsupportedError (feature: string): SqlError {
  return new SqlError('0A000', `the stand-in target does not support ${feature}`)
}

const FUNCTIONS: Readonly<Record<string, (args: readonly Value[]) => Value>> = {
  now: () => new Date().toISOString(),
  version: () => 'stand-in target',
  lower: ([text]) => String(text).toLowerCase(),
  upper: ([text]) => String(text).toUpperCase(),
  length: ([text]) => String(text).length,
  repeat: ([text, times]) => String(text).repeat(Number(times)),
}

const OPERATORS: Readonly<Record<string, (a: Value, b: Value) => Value>> = {
  '=': (a, b) => compareValues(a, b) === 0,
  '<>': (a, b) => compareValues(a, b) !== 0,
  '<': (a, b) => compareValues(a, b) < 0,
  '>': (a, b) => compareValues(a, b) > 0,
  '<=': (a, b) => compareValues(a, b) <= 0,
  '>=': (a, b) => compareValues(a, b) >= 0,
  '+': (a, b) => Number(a) + Number(b),
  '-': (a, b) => Number(a) - Number(b),
  '*': (a, b) => Number(a) * Number(b),
  '||': (a, b) => String(a) + String(b),
}

const EVALUATORS: Readonly<Record<string, (node: Node, scope: Scope) => Value>> = {
  A_Const: (node) => constant(node),
  ParamRef (node, scope) {
    if (node.number > scope.params.length) throw new SqlError('42P02', `there is no parameter $${node.number}`)
    return scope.params[node.number - 1]
  },
  ColumnRef (node, scope) {
    const name = columnName(node)
    if (scope.row === undefined || !(name in scope.row)) throw new SqlError('42703', `column "${name}" does not exist`)
    return scope.row[name]
  },
  TypeCast: (node, scope) => coerce(evaluate(node.arg, scope), typeName(node.typeName)),
  A_Expr (node, scope) {
    const operator = OPERATORS[node.name[0].String.sval]
    if (node.kind !== 'AEXPR_OP' || operator === undefined) throw unsupportedError(`operator ${node.name[0].String.sval}`)
    const left = node.lexpr === undefined ? 0 : evaluate(node.lexpr, scope)
    const right = evaluate(node.rexpr, scope)
    return left === null || right === null ? null : operator(left, right)
  },
  BoolExpr (node, scope) {
    const values = (node.args as Node[]).map((arg) => evaluate(arg, scope) === true)
    if (node.boolop === 'NOT_EXPR') return !values[0]
    return node.boolop === 'AND_EXPR' ? values.every(Boolean) : values.some(Boolean)
  },
  NullTest: (node, scope) => (evaluate(node.arg, scope) === null) === (node.nulltesttype === 'IS_NULL'),
  SQLValueFunction: () => new Date().toISOString(),
  FuncCall (node, scope) {
    const name = node.funcname.at(-1).String.sval as string
    const args = ((node.args ?? []) as Node[]).map((arg) => evaluate(arg, scope))
    return name in FUNCTIONS ? FUNCTIONS[name](args) : scope.call(name, args)
  },
}

/** Evaluates an expression. Throws SqlError. */
export function evaluate (expression: Node, scope: Scope): Value {
  const [kind] = Object.keys(expression)
  const evaluator = EVALUATORS[kind]
  if (evaluator === undefined) throw unsupportedError(`expressions of kind ${kind}`)
  return evaluator(expression[kind], scope)
}

/** Name of a column without its table or schema; `*` for all columns. */
export function columnName (columnRef: Node): string {
  return columnRef.fields.at(-1).String?.sval ?? '*'
}

/** Name of a type without its schema. */
export function typeName (node: Node): string {
  return node.names.at(-1).String.sval
}

/** Orders two values, null last. Compares them as numbers if either is a number, else as text. */
export function compareValues (a: Value, b: Value): number {
  if (a === b) return 0
  if (a === null || b === null) return a === null ? 1 : -1
  if (typeof a === 'number' || typeof b === 'number') return Number(a) - Number(b)
  return String(a) < String(b) ? -1 : String(a) > String(b) ? 1 : 0
}

const NUMERIC_TYPES = new Set(['int2', 'int4', 'int8', 'numeric', 'float4', 'float8', 'serial', 'bigserial'])

/** Converts a value to a column's type. Throws SqlError for a text that is not a number. */
export function coerce (value: Value, type: string): Value {
  if (value === null) return null
  if (NUMERIC_TYPES.has(type)) {
    if (Number.isNaN(Number(value))) throw new SqlError('22P02', `invalid input syntax for type ${type}: "${String(value)}"`)
    return Number(value)
  }
  if (type === 'bool') return value === true || value === 't' || value === 'true'
  return String(value)
}

/** Encodes a value in the protocol's text format. */
export function toText (value: Value): string | null {
  if (value === null) return null
  return typeof value === 'boolean' ? (value ? 't' : 'f') : String(value)
}

function constant (node: Node): Value {
  if (node.isnull === true) return null
  if (node.ival !== undefined) return node.ival.ival ?? 0
  if (node.fval !== undefined) return Number(node.fval.fval)
  if (node.boolval !== undefined) return node.boolval.boolval ?? false
  if (node.sval !== undefined) return node.sval.sval ?? ''
  throw unsupportedError('constants of this type')
}
