import { BriarpickError } from '@briarpick/error'
import { parseSql, type StatementTree } from './parseSql.js'

/** What a statement does. */
export type StatementKind = 'read' | 'write' | 'begin' | 'beginReadOnly' | 'end' | 'inTransaction' | 'setOption' | 'noEffect'

/** One statement's class. */
export interface StatementClass {
  readonly kind: StatementKind
  /** For `setOption`: the option without its prefix, and its value. */
  readonly option?: { readonly name: string, readonly value: string }
}

const OPTION_PREFIX = 'briarpick.'

/** Functions that neither write nor keep state on the connection. Any other makes a statement a write. */
const PURE_FUNCTIONS = new Set([
  'abs', 'age', 'array_agg', 'array_length', 'avg', 'bool_and', 'bool_or', 'btrim', 'ceil', 'char_length', 'concat', 'concat_ws', 'count',
  'current_database', 'current_schema', 'date', 'date_part', 'date_trunc', 'decode', 'dense_rank', 'encode', 'extract', 'first_value', 'floor',
  'format', 'generate_series', 'greatest', 'initcap', 'json_agg', 'json_build_object', 'jsonb_agg', 'jsonb_build_object', 'lag', 'last_value',
  'lead', 'least', 'left', 'length', 'lower', 'ltrim', 'make_date', 'max', 'md5', 'min', 'mod', 'now', 'nullif', 'percentile_cont', 'pg_sleep',
  'position', 'power', 'rank', 'regexp_replace', 'repeat', 'replace', 'right', 'round', 'row_number', 'rtrim', 'split_part', 'sqrt', 'stddev',
  'string_agg', 'strpos', 'substr', 'substring', 'sum', 'timezone', 'to_char', 'to_date', 'to_number', 'to_timestamp', 'trim', 'trunc', 'unnest',
  'upper', 'variance', 'version',
])

const WRITES_INSIDE = new Set(['InsertStmt', 'UpdateStmt', 'DeleteStmt', 'MergeStmt', 'lockingClause', 'intoClause'])

type Classifier = (node: Readonly<Record<string, unknown>>) => StatementClass

const write: Classifier = () => ({ kind: 'write' })

const CLASSIFIERS: Readonly<Record<string, Classifier>> = {
  SelectStmt: (node) => ({ kind: isPure(node) ? 'read' : 'write' }),
  ExplainStmt: (node) => ({ kind: isPure(node) ? 'read' : 'write' }),
  VariableShowStmt: () => ({ kind: 'read' }),
  TransactionStmt: classifyTransaction,
  VariableSetStmt: classifySet,
  InsertStmt: write,
  UpdateStmt: write,
  DeleteStmt: write,
  MergeStmt: write,
  CreateStmt: (node) => refuseTemporary(node),
  CreateTableAsStmt: write,
  AlterTableStmt: write,
  DropStmt: write,
  IndexStmt: write,
  TruncateStmt: write,
  RenameStmt: write,
  CreateSchemaStmt: write,
  ViewStmt: write,
  CreateSeqStmt: write,
  AlterSeqStmt: write,
  CreateEnumStmt: write,
  CreateFunctionStmt: write,
  CommentStmt: write,
  GrantStmt: write,
  LockStmt: () => ({ kind: 'inTransaction' }),
}

const classCache = new WeakMap<StatementTree, StatementClass>()

/** Classifies each statement of a text. What can't be shown to be a read is a write; what would leave state behind is refused. */
export function classifyStatements (text: string): readonly StatementClass[] {
  return parseSql(text).map((tree) => {
    const known = classCache.get(tree) ?? classifyTree(tree)
    classCache.set(tree, known)
    return known
  })
}

function classifyTree (tree: StatementTree): StatementClass {
  const [kind] = Object.keys(tree)
  const classify = CLASSIFIERS[kind]
  if (classify === undefined) throw unsupported(kind)
  return classify(tree[kind])
}

function isPure (value: unknown): boolean {
  if (Array.isArray(value)) return value.every(isPure)
  if (typeof value !== 'object' || value === null) return true
  return Object.entries(value).every(([key, child]) => {
    if (WRITES_INSIDE.has(key)) return false
    if (key === 'FuncCall' && !PURE_FUNCTIONS.has(functionName(child))) return false
    return isPure(child)
  })
}

function functionName (call: unknown): string {
  const names = (call as { funcname?: ReadonlyArray<{ String?: { sval?: string } }> }).funcname ?? []
  const schema = names.length > 1 ? names[0].String?.sval : 'pg_catalog'
  return schema === 'pg_catalog' ? names.at(-1)?.String?.sval ?? '' : ''
}

const TRANSACTION_KINDS: Readonly<Record<string, StatementKind>> = {
  TRANS_STMT_BEGIN: 'begin',
  TRANS_STMT_START: 'begin',
  TRANS_STMT_COMMIT: 'end',
  TRANS_STMT_ROLLBACK: 'end',
  TRANS_STMT_SAVEPOINT: 'inTransaction',
  TRANS_STMT_RELEASE: 'inTransaction',
  TRANS_STMT_ROLLBACK_TO: 'inTransaction',
}

function classifyTransaction (node: Readonly<Record<string, unknown>>): StatementClass {
  const kind = TRANSACTION_KINDS[String(node.kind)]
  if (kind === undefined) throw unsupported('two-phase commit')
  return { kind: kind === 'begin' && isReadOnly(node.options) ? 'beginReadOnly' : kind }
}

function isReadOnly (options: unknown): boolean {
  return JSON.stringify(options ?? []).includes('"defname":"transaction_read_only","arg":{"A_Const":{"ival":{"ival":1}')
}

/** Settings that drivers make on every connection, and whose values targets have anyway. */
const HARMLESS_SETTINGS = new Set(['extra_float_digits', 'application_name', 'client_encoding', 'client_min_messages', 'datestyle', 'intervalstyle'])

function classifySet (node: Readonly<Record<string, unknown>>): StatementClass {
  const name = String(node.name ?? '')
  if (name.startsWith(OPTION_PREFIX)) return { kind: 'setOption', option: { name: name.slice(OPTION_PREFIX.length), value: setValue(node) } }
  if (node.is_local === true) return { kind: 'inTransaction' }
  if (HARMLESS_SETTINGS.has(name.toLowerCase())) return { kind: 'noEffect' }
  if (name === 'TRANSACTION') return { kind: 'inTransaction' }
  throw new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', `SET ${name} would leave a setting on a shared connection`, {
    hint: 'use SET LOCAL inside a transaction, or set it for the role on the target',
  })
}

interface ConstantNode {
  readonly sval?: { readonly sval?: string }
  readonly ival?: { readonly ival?: number }
  readonly boolval?: { readonly boolval?: boolean }
}

function setValue (node: Readonly<Record<string, unknown>>): string {
  const args = (node.args ?? []) as ReadonlyArray<{ readonly A_Const?: ConstantNode }>
  const constant = args[0]?.A_Const
  return constant?.sval?.sval ?? String(constant?.ival?.ival ?? constant?.boolval?.boolval ?? '')
}

function refuseTemporary (node: Readonly<Record<string, unknown>>): StatementClass {
  const relation = node.relation as { relpersistence?: string } | undefined
  if (relation?.relpersistence === 't') throw unsupported('temporary tables')
  return { kind: 'write' }
}

function unsupported (what: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', `${what} is not supported through the proxy`, {
    hint: 'connect to the target directly for this statement; it would leave state on a shared connection',
  })
}
