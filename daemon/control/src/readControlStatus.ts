import { type DatabaseView } from '@briarpick/types'
import { granterMs } from '@briarpick/clock'
import { type RaftStatus } from '@briarpick/consensus-agreement'
import { type ControlNode } from './createControlNode.js'
import { type LeaderDuties } from './createLeaderDuties.js'

/** Status of a proxy as known to the leader. */
export interface ProxyStatus {
  readonly proxy: string
  readonly dataCentre: string
  /** True while the proxy's lease is valid. */
  readonly live: boolean
  /** True if the proxy is shutting down, so that its homes move to others. */
  readonly leaving: boolean
  readonly bundleVersion: number
  readonly rpcAddress: string
  /** Databases that the proxy is the home of. */
  readonly homes: readonly string[]
}

/** Status of a control node and, if it is the leader, of the proxies. */
export interface ControlStatus {
  readonly agreement: RaftStatus
  /** True if this node leads, a quorum has confirmed its leadership, and it has applied all entries that earlier leaders committed. */
  readonly ready: boolean
  /** False while the node takes no part in consensus since its log file cannot be written. */
  readonly storageWritable: boolean
  readonly bundleVersion: number
  readonly views: readonly DatabaseView[]
  readonly proxies: readonly ProxyStatus[]
}

/** Reads the status of a control node. */
export function readControlStatus (node: ControlNode, duties: LeaderDuties): ControlStatus {
  const now = granterMs()
  const state = node.state()
  return {
    agreement: node.status(),
    ready: node.isReady(),
    storageWritable: node.isStorageWritable(),
    bundleVersion: state.bundle?.version ?? 0,
    views: Object.values(state.views),
    proxies: [...duties.leases().all()].map(({ proxy, expiresAt, request }) => ({
      proxy,
      dataCentre: request.dataCentre,
      live: now < expiresAt,
      leaving: request.leaving,
      bundleVersion: request.bundleVersion,
      rpcAddress: `${request.rpcAddress.host}:${request.rpcAddress.port}`,
      homes: request.homes.map((home) => home.database),
    })),
  }
}
