import fs from 'node:fs'
import path from 'node:path'
import { BriarpickError } from '@briarpick/error'
import { type SeedVote } from '@briarpick/consensus-founding'
import { syncFolder } from './openLogFile.js'

const FILE_NAME = 'founding.json'
/** Ending of the names of files that are being written. */
const UNFINISHED_SUFFIX = '.new'

/** What a machine with a disk keeps of the first start of the whole system. */
export interface FoundingFile {
  /** Names of the seeds at the first start; the settings may name others later. */
  readonly seeds: readonly string[]
  /** What this machine has agreed to as a seed; null if it is none. */
  readonly vote: SeedVote | null
}

/** Returns true if a data folder holds nothing, apart from files whose writing was not finished. */
export function isUnusedFolder (folder: string): boolean {
  return fs.readdirSync(folder).every((name) => name.endsWith(UNFINISHED_SUFFIX))
}

/** Reads the founding file of a data folder, undefined if it has none; throws ERR_BRIARPICK_LOG_DAMAGED if it cannot be read. */
export function readFoundingFile (folder: string): FoundingFile | undefined {
  const file = path.join(folder, FILE_NAME)
  if (!fs.existsSync(file)) return undefined
  try {
    return JSON.parse(fs.readFileSync(file, 'utf8')) as FoundingFile
  } catch (err) {
    throw new BriarpickError('ERR_BRIARPICK_LOG_DAMAGED', `${file} cannot be read`, {
      hint: 'move the data folder away and restart the node: it joins with a new identity',
      cause: err,
    })
  }
}

/** Writes the founding file; it and its folder are synced on return, so that what it holds survives a loss of power. */
export function writeFoundingFile (folder: string, founding: FoundingFile): void {
  const temporary = path.join(folder, `${FILE_NAME}${UNFINISHED_SUFFIX}`)
  fs.writeFileSync(temporary, JSON.stringify(founding), { flush: true })
  fs.renameSync(temporary, path.join(folder, FILE_NAME))
  syncFolder(folder)
}
