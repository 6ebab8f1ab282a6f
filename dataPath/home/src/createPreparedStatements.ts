import { type Access } from '@briarpick/types'

/** A shape and its access mode: what a caller prepared, without the caller's name for it. */
export interface StatementShape {
  readonly access: Access
  readonly shape: string
}

/** Statements prepared on one connection to a target. The same statement of several callers is prepared once. */
export interface PreparedStatements {
  /** Name under which the statement is prepared, which counts as a use of it; undefined if it is not prepared. */
  nameOf: (statement: StatementShape) => string | undefined
  /** A name that no statement has had on this connection. It contains nothing of the caller's text. */
  newName: () => string
  /** Names to deallocate before another statement of this shape is prepared, the least recently used ones. */
  namesToDeallocate: (shape: string) => readonly string[]
  add: (name: string, statement: StatementShape) => void
  remove: (name: string) => void
  /** Forgets all statements, after the session was reset. */
  clear: () => void
}

interface PreparedStatement extends StatementShape {
  readonly name: string
}

/** Maximum number of statements that are prepared on a connection. */
export const MAX_PREPARED_STATEMENTS = 1000
/** Maximum length of all shapes that are prepared on a connection, in characters; a longer shape is kept alone. */
export const MAX_PREPARED_CHARACTERS = 128 * 1024

/** Creates the record of a connection on which nothing is prepared. */
export function createPreparedStatements (): PreparedStatements {
  const byShape: Readonly<Record<Access, Map<string, PreparedStatement>>> = { read: new Map(), write: new Map() }
  /** In order of their last use. */
  const byName = new Map<string, PreparedStatement>()
  let characters = 0
  let lastNumber = 0

  return {
    nameOf ({ access, shape }) {
      const statement = byShape[access].get(shape)
      if (statement === undefined) return undefined
      byName.delete(statement.name)
      byName.set(statement.name, statement)
      return statement.name
    },
    newName () {
      lastNumber += 1
      return `s${lastNumber}`
    },
    namesToDeallocate (shape) {
      const names: string[] = []
      let total = characters + shape.length
      for (const statement of byName.values()) {
        if (byName.size - names.length < MAX_PREPARED_STATEMENTS && total <= MAX_PREPARED_CHARACTERS) break
        names.push(statement.name)
        total -= statement.shape.length
      }
      return names
    },
    add (name, { access, shape }) {
      const statement = { name, access, shape }
      byName.set(name, statement)
      byShape[access].set(shape, statement)
      characters += shape.length
    },
    remove (name) {
      const statement = byName.get(name)
      if (statement === undefined) return
      byName.delete(name)
      byShape[statement.access].delete(statement.shape)
      characters -= statement.shape.length
    },
    clear () {
      byName.clear()
      byShape.read.clear()
      byShape.write.clear()
      characters = 0
    },
  }
}
