import { BriarpickError } from '@briarpick/error'
import { parseSql, type StatementTree } from './parseSql.js'

/**
 * Class of a statement: `end` commits or rolls back, `inTransaction` takes effect only within a transaction, `setOption` sets a
 * briarpick option, and `noEffect` is accepted without being sent to a target.
 */
export type StatementKind = 'read' | 'write' | 'begin' | 'beginReadOnly' | 'end' | 'inTransaction' | 'setOption' | 'noEffect'

/** Result of classifying one statement. */
export interface StatementClass {
  readonly kind: StatementKind
  /** For `setOption`: the option's name without the `briarpick.` prefix, and its value. */
  readonly option?: { readonly name: string, readonly value: string }
}

const OPTION_PREFIX = 'briarpick.'

/** Functions that neither write data nor leave state on the connection. A call of any other function makes the statement a write. */
const SIDE_EFFECT_FREE_FUNCTIONS = new Set([
  'abs', 'age', 'array_agg', 'array_length', 'avg', 'bool_and', 'bool_or', 'btrim', 'ceil', 'char_length', 'concat', 'concat_ws', 'count',
  'current_database', 'current_schema', 'date', 'date_part', 'date_trunc', 'decode', 'dense_rank', 'encode', 'extract', 'first_value', 'floor',
  'format', 'generate_series', 'greatest', 'initcap', 'json_agg', 'json_build_object', 'jsonb_agg', 'jsonb_build_object', 'lag', 'last_value',
  'lead', 'least', 'left', 'length', 'lower', 'ltrim', 'make_date', 'max', 'md5', 'min', 'mod', 'now', 'nullif', 'percentile_cont', 'pg_sleep',
  'position', 'power', 'rank', 'regexp_replace', 'repeat', 'replace', 'right', 'round', 'row_number', 'rtrim', 'split_part', 'sqrt', 'stddev',
  'string_agg', 'strpos', 'substr', 'substring', 'sum', 'timezone', 'to_char', 'to_date', 'to_number', 'to_timestamp', 'trim', 'trunc', 'unnest',
  'upper', 'variance', 'version',
])

/** Parse tree keys whose presence anywhere in a statement makes it a write. */
const WRITING_NODES = new Set(['InsertStmt', 'UpdateStmt', 'DeleteStmt', 'MergeStmt', 'lockingClause', 'intoClause'])

type Classifier = (node: Readonly<Record<string, unknown>>) => StatementClass

const write: Classifier = () => ({ kind: 'write' })

const CLASSIFIERS: Readonly<Record<string, Classifier>> = {
  SelectStmt: (node) => ({ kind: hasNoSideEffects(node) ? 'read' : 'write' }),
  ExplainStmt: (node) => ({ kind: hasNoSideEffects(node) ? 'read' : 'write' }),
  VariableShowStmt: () => ({ kind: 'read' }),
  TransactionStmt: classifyTransaction,
  VariableSetStmt: classifySet,
  InsertStmt: write,
  UpdateStmt: write,
  DeleteStmt: write,
  MergeStmt: write,
  CreateStmt: (node) => classifyCreateTable(node),
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

/**
 * Classifies each statement of a text. A statement that is not provably a read is a write. Throws `ERR_BRIARPICK_UNSUPPORTED` for a
 * statement that would leave state on a shared connection, and `ERR_BRIARPICK_SYNTAX` for a text that does not parse.
 */
export function classifyStatements (text: string): readonly StatementClass[] {
  return parseSql(text).map((tree) => {
    const statementClass = classCache.get(tree) ?? classifyTree(tree)
    classCache.set(tree, statementClass)
    return statementClass
  })
}

function classifyTree (tree: StatementTree): StatementClass {
  const [kind] = Object.keys(tree)
  const classify = CLASSIFIERS[kind]
  if (classify === undefined) throw unsupportedError(kind)
  return classify(tree[kind])
}

function hasNoSideEffects (value: unknown): boolean {
  if (Array.isArray(value)) return value.every(hasNoSideEffects)
  if (typeof value !== 'object' || value === null) return true
  return Object.entries(value).every(([key, child]) => {
    if (WRITING_NODES.has(key)) return false
    if (key === 'FuncCall' && !SIDE_EFFECT_FREE_FUNCTIONS.has(catalogFunctionName(child))) return false
    return hasNoSideEffects(child)
  })
}

/** Returns the name of a called function; empty if it is outside `pg_catalog`. */
function catalogFunctionName (call: unknown): string {
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
  if (kind === undefined) throw unsupportedError('two-phase commit')
  return { kind: kind === 'begin' && hasReadOnlyOption(node.options) ? 'beginReadOnly' : kind }
}

interface ModeNode {
  readonly DefElem?: { readonly defname?: string, readonly arg?: { readonly A_Const?: ConstantNode } }
}

/** True if the last access mode is READ ONLY; the parser represents it as 1, and READ WRITE as a number without a value. */
function hasReadOnlyOption (options: unknown): boolean {
  const modes = (options ?? []) as readonly ModeNode[]
  const accessMode = modes.findLast(({ DefElem }) => DefElem?.defname === 'transaction_read_only')
  return accessMode?.DefElem?.arg?.A_Const?.ival?.ival === 1
}

/** Settings that drivers send on every connection. They are ignored, since targets have these values anyway. */
const IGNORED_SETTINGS = new Set(['extra_float_digits', 'application_name', 'client_encoding', 'client_min_messages', 'datestyle', 'intervalstyle'])

function classifySet (node: Readonly<Record<string, unknown>>): StatementClass {
  const name = String(node.name ?? '')
  if (name.startsWith(OPTION_PREFIX)) return { kind: 'setOption', option: { name: name.slice(OPTION_PREFIX.length), value: readSetValue(node) } }
  if (node.is_local === true) return { kind: 'inTransaction' }
  if (IGNORED_SETTINGS.has(name.toLowerCase())) return { kind: 'noEffect' }
  if (name === 'TRANSACTION') return { kind: 'inTransaction' }
  throw new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', `SET ${name} would change a setting of a shared connection`, {
    hint: 'use SET LOCAL inside a transaction, or configure the setting for the role on the target',
  })
}

interface ConstantNode {
  readonly sval?: { readonly sval?: string }
  readonly ival?: { readonly ival?: number }
  readonly boolval?: { readonly boolval?: boolean }
}

function readSetValue (node: Readonly<Record<string, unknown>>): string {
  const args = (node.args ?? []) as ReadonlyArray<{ readonly A_Const?: ConstantNode }>
  const constant = args[0]?.A_Const
  return constant?.sval?.sval ?? String(constant?.ival?.ival ?? constant?.boolval?.boolval ?? '')
}

function classifyCreateTable (node: Readonly<Record<string, unknown>>): StatementClass {
  const relation = node.relation as { relpersistence?: string } | undefined
  if (relation?.relpersistence === 't') throw unsupportedError('temporary tables')
  return { kind: 'write' }
}

function unsupportedError (what: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', `not supported through the proxy: ${what}`, {
    hint: 'connect to the target directly for this statement, since it would leave state on a shared connection',
  })
}
