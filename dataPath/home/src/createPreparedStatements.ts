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
  /** Name of the least recently used statement if it must be deallocated before another one of this shape is prepared. */
  nextToDeallocate: (shape: string) => string | undefined
  add: (name: string, statement: StatementShape) => void
  remove: (name: string) => void
  /** Forgets all statements, after the session was reset. */
  clear: () => void
  size: () => number
}

interface PreparedStatement extends StatementShape {
  readonly name: string
  /** Number of the use of the connection at which it was used last. */
  lastUse: number
}

/** Maximum number of statements that are prepared on a connection. */
export const MAX_PREPARED_STATEMENTS = 1000
/** Maximum length of all shapes that are prepared on a connection, in characters; a longer shape is kept alone. */
export const MAX_PREPARED_CHARACTERS = 128 * 1024

/** Creates the record of a connection on which nothing is prepared. */
export function createPreparedStatements (): PreparedStatements {
  const byShape: Readonly<Record<Access, Map<string, PreparedStatement>>> = { read: new Map(), write: new Map() }
  const byName = new Map<string, PreparedStatement>()
  let characters = 0
  let uses = 0
  let lastNumber = 0

  function hasRoomFor (shape: string): boolean {
    return byName.size < MAX_PREPARED_STATEMENTS && characters + shape.length <= MAX_PREPARED_CHARACTERS
  }

  return {
    nameOf ({ access, shape }) {
      const statement = byShape[access].get(shape)
      if (statement === undefined) return undefined
      uses += 1
      statement.lastUse = uses
      return statement.name
    },
    newName () {
      lastNumber += 1
      return `s${lastNumber}`
    },
    nextToDeallocate (shape) {
      if (byName.size === 0 || hasRoomFor(shape)) return undefined
      return [...byName.values()].reduce((oldest, statement) => statement.lastUse < oldest.lastUse ? statement : oldest).name
    },
    add (name, { access, shape }) {
      uses += 1
      const statement = { name, access, shape, lastUse: uses }
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
    size: () => byName.size,
  }
}
