import { NO_VOTE, type SeedVote } from '@briarpick/consensus-founding'
import { hasIdentity, isUnusedFolder, readFoundingFile, writeFoundingFile } from '@briarpick/consensus-log'

/** Options for opening the part of a control daemon in the founding of its cluster. */
export interface OpenFoundingOptions {
  /** Name of this daemon. */
  readonly name: string
  /** Names of the seeds in the settings. */
  readonly seeds: readonly string[]
  /** Folder of the control node on a persistent disk; undefined without one. */
  readonly folder: string | undefined
  /** True on the first start of the whole system. */
  readonly isFirstStart: boolean
}

/** The part of a control daemon in the founding of its cluster, as of its start. */
export interface FoundingPart {
  /** Names of the seeds at the first start, as far as this daemon knows them. */
  readonly seeds: readonly string[]
  readonly hasDisk: boolean
  /** True if the daemon may become one of the initial voters. */
  readonly isCandidate: boolean
  /** What the daemon has agreed to as a seed; null if it is no seed, or may have forgotten it. */
  readonly vote: SeedVote | null
  /** Stores a vote so that a later process of this daemon has it, if there is a disk. */
  readonly storeVote: (vote: SeedVote) => void
}

/**
 * Returns the part of a daemon in the founding. The first start leaves a file on a disk, so that a process that is killed before the
 * cluster is founded goes on where it was. Without that file and on a later start, a disk may have been lost with a vote on
 * it: the daemon then takes no part. That holds for each later process of a daemon without a disk.
 */
export function openFounding ({ name, seeds, folder, isFirstStart }: OpenFoundingOptions): FoundingPart {
  const isSeed = seeds.includes(name)
  const withoutFile = { seeds, hasDisk: folder !== undefined, isCandidate: false, storeVote: () => {} }
  if (folder === undefined) return { ...withoutFile, vote: isSeed && isFirstStart ? NO_VOTE : null }
  if (isFirstStart && isUnusedFolder(folder)) writeFoundingFile(folder, { seeds, vote: isSeed ? NO_VOTE : null })
  const file = readFoundingFile(folder)
  if (file === undefined) return { ...withoutFile, vote: null }
  return {
    seeds: file.seeds,
    hasDisk: true,
    isCandidate: !hasIdentity(folder),
    vote: file.vote,
    storeVote: (vote) => { writeFoundingFile(folder, { seeds: file.seeds, vote }) },
  }
}
