import { loadModule, parseSync } from 'libpg-query'
import { BriarpickError } from '@briarpick/error'

/** A parsed statement: one key that names its kind, and its node. */

export type StatementTree = Readonly<Record<string, any>>

/** Most statement texts whose trees are kept. */
const CACHE_ENTRIES = 4096

const cache = new Map<string, readonly StatementTree[]>()

await loadModule()

/** Parses a text of statements with PostgreSQL's own grammar. Trees are cached by text; a syntax error throws. */
export function parseSql (text: string): readonly StatementTree[] {
  const known = cache.get(text)
  if (known !== undefined) return known
  const trees = parse(text)
  const oldest = cache.keys().next()
  if (cache.size >= CACHE_ENTRIES && oldest.done !== true) cache.delete(oldest.value)
  cache.set(text, trees)
  return trees
}

function parse (text: string): readonly StatementTree[] {
  if (text.trim() === '') return []
  try {
    return (parseSync(text).stmts ?? []).map((raw: { stmt?: object }) => (raw.stmt ?? {}) as StatementTree)
  } catch (err) {
    const message = err instanceof Error ? err.message : String(err)
    throw new BriarpickError('ERR_BRIARPICK_SYNTAX', message, { hint: 'correct the statement', cause: err })
  }
}
