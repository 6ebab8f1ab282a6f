import fs from 'node:fs'
import path from 'node:path'
import { BriarpickError } from '@briarpick/error'
import { type NodeId, type Snapshot } from '@briarpick/consensus-agreement'
import { syncFolder } from './openLogFile.js'

/** Incarnation of the nodes that form a new cluster. */
const FIRST_INCARNATION = 'first'

const FILE_NAME = 'identity.json'

interface IdentityFile {
  readonly name: string
  readonly incarnation: string
  readonly voters: readonly NodeId[]
}

/** The identity of a data folder, and the initial snapshot of its log. */
export interface Identity {
  readonly id: NodeId
  readonly firstSnapshot: Snapshot
}

/** Returns true if a data folder has an identity already. */
export function hasIdentity (folder: string): boolean {
  return fs.existsSync(path.join(folder, FILE_NAME))
}

/** Initializes the data folder of a node of a new cluster; throws ERR_BRIARPICK_USAGE if the folder has an identity already. */
export function initDataFolder (folder: string, name: string, voterNames: readonly string[]): void {
  if (hasIdentity(folder)) {
    throw new BriarpickError('ERR_BRIARPICK_USAGE', `${folder} has an identity already`, {
      hint: 'start the node without init; use init only once, for a new cluster',
    })
  }
  const voters = voterNames.map((voter) => `${voter}:${FIRST_INCARNATION}`)
  writeIdentity(folder, { name, incarnation: FIRST_INCARNATION, voters })
}

/**
 * Reads the identity of a folder. An empty folder gets a new one, without voters: the node has no vote until the cluster admits
 * it. Throws ERR_BRIARPICK_SETTINGS if the folder belongs to another node, ERR_BRIARPICK_LOG_DAMAGED if the identity cannot be read.
 */
export function openIdentity (folder: string, name: string): Identity {
  const file = path.join(folder, FILE_NAME)
  if (!hasIdentity(folder)) writeIdentity(folder, { name, incarnation: crypto.randomUUID(), voters: [] })
  const identity = readIdentity(file)
  if (identity.name !== name) {
    throw new BriarpickError('ERR_BRIARPICK_SETTINGS', `${folder} belongs to node ${identity.name}, not to ${name}`, {
      hint: 'point data_folder at this node\'s own folder, or correct the name in the settings',
    })
  }
  return {
    id: `${name}:${identity.incarnation}`,
    firstSnapshot: { index: 0, term: 0, voters: { voters: identity.voters, learners: [] }, state: null },
  }
}

function readIdentity (file: string): IdentityFile {
  try {
    return JSON.parse(fs.readFileSync(file, 'utf8')) as IdentityFile
  } catch (err) {
    throw new BriarpickError('ERR_BRIARPICK_LOG_DAMAGED', `${file} cannot be read`, {
      hint: 'move the data folder away and restart the node: it joins with a new identity',
      cause: err,
    })
  }
}

function writeIdentity (folder: string, identity: IdentityFile): void {
  fs.mkdirSync(folder, { recursive: true })
  const temporary = path.join(folder, `${FILE_NAME}.new`)
  fs.writeFileSync(temporary, JSON.stringify(identity), { flush: true })
  fs.renameSync(temporary, path.join(folder, FILE_NAME))
  syncFolder(folder)
}
