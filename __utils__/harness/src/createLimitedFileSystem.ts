import fs from 'node:fs'

/** The synchronous operations of a file system that a test can let fail. */
export interface LimitedFileSystem {
  /** The operations of Node.js, with writes that fail once there is no room. */
  readonly fileSystem: typeof fs
  /** Sets the number of bytes that can still be written: the write that exceeds it is done in part, all after it are refused. */
  readonly setRoom: (bytes: number) => void
  /** Lets the creation of files fail. */
  readonly failCreations: (fails: boolean) => void
  /** Lets syncs fail. */
  readonly failSyncs: (fails: boolean) => void
}

/** Creates a file system that refuses writes on demand, as a full or failing disk does. */
export function createLimitedFileSystem (): LimitedFileSystem {
  let room = Infinity
  let areCreationsFailing = false
  let areSyncsFailing = false
  const fullError = (operation: string) => Object.assign(new Error(`ENOSPC: no space left on device, ${operation}`), { code: 'ENOSPC' })

  const openSync = (file: string, flags: string): number => {
    if (flags === 'w' && areCreationsFailing) throw fullError('open')
    return fs.openSync(file, flags)
  }
  const writeSync = (fd: number, buffer: Buffer, offset: number, length: number, position: number): number => {
    if (room === 0) throw fullError('write')
    const written = fs.writeSync(fd, buffer, offset, Math.min(room, length), position)
    room -= written
    return written
  }
  const sync = (fd: number): void => {
    if (areSyncsFailing) throw Object.assign(new Error('EIO: i/o error, fsync'), { code: 'EIO' })
    fs.fdatasyncSync(fd)
  }

  return {
    fileSystem: {
      ...fs,
      openSync: openSync as typeof fs.openSync,
      writeSync: writeSync as typeof fs.writeSync,
      fdatasyncSync: sync,
      fsyncSync: sync,
    },
    setRoom: (bytes) => { room = bytes },
    failCreations: (fails) => { areCreationsFailing = fails },
    failSyncs: (fails) => { areSyncsFailing = fails },
  }
}
