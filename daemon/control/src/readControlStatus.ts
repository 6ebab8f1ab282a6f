import { type DatabaseView } from '@briarpick/types'
import { elapsedMs } from '@briarpick/clock'
import { type RaftStatus } from '@briarpick/consensus-agreement'
import { type ControlNode } from './createControlNode.js'
import { type LeaderDuties } from './createLeaderDuties.js'

/** A proxy as the leader knows it. */
export interface ProxyStatus {
  readonly proxy: string
  readonly dataCentre: string
  readonly live: boolean
  readonly leaving: boolean
  readonly bundleVersion: number
  readonly rpcAddress: string
  readonly homes: readonly string[]
}

/** A control node's answer about itself and, if it leads, the system. */
export interface ControlStatus {
  readonly agreement: RaftStatus
  /** True if this node leads and a quorum confirmed it. */
  readonly ready: boolean
  readonly bundleVersion: number
  readonly views: readonly DatabaseView[]
  readonly proxies: readonly ProxyStatus[]
}

/** Reads the status of a control node. */
export function readControlStatus (node: ControlNode, duties: LeaderDuties): ControlStatus {
  const now = elapsedMs()
  const state = node.state()
  return {
    agreement: node.status(),
    ready: node.isReady(),
    bundleVersion: state.bundle?.version ?? 0,
    views: Object.values(state.views),
    proxies: [...duties.leases().all()].map(({ proxy, until, request }) => ({
      proxy,
      dataCentre: request.dataCentre,
      live: now < until,
      leaving: request.leaving,
      bundleVersion: request.bundleVersion,
      rpcAddress: `${request.rpcAddress.host}:${request.rpcAddress.port}`,
      homes: request.homes.map((home) => home.database),
    })),
  }
}
