import { loadModule, parseSync } from 'libpg-query'
import { BriarpickError } from '@briarpick/error'

/** Parse tree of one statement: an object with one key, the node type, whose value is the node. */
export type StatementTree = Readonly<Record<string, any>>

/** Maximum number of statement texts whose parse trees are cached. */
const MAX_CACHED_TEXTS = 4096

const cache = new Map<string, readonly StatementTree[]>()

await loadModule()

/** Parses the statements of a text with PostgreSQL's own grammar; results are cached by text. Throws `ERR_BRIARPICK_SYNTAX`. */
export function parseSql (text: string): readonly StatementTree[] {
  const cached = cache.get(text)
  if (cached !== undefined) return cached
  const trees = parse(text)
  const oldestKey = cache.keys().next()
  if (cache.size >= MAX_CACHED_TEXTS && oldestKey.done !== true) cache.delete(oldestKey.value)
  cache.set(text, trees)
  return trees
}

function parse (text: string): readonly StatementTree[] {
  if (text.trim() === '') return []
  try {
    return (parseSync(text).stmts ?? []).map((statement: { stmt?: object }) => (statement.stmt ?? {}) as StatementTree)
  } catch (err) {
    const message = err instanceof Error ? err.message : String(err)
    throw new BriarpickError('ERR_BRIARPICK_SYNTAX', message, { hint: 'correct the syntax of the statement', cause: err })
  }
}
