import { type Address, type ControlCommand, type SignedBundle } from '@briarpick/types'
import { checkBundleText, verifyBundle } from '@briarpick/bundle'
import { createLeaderResponder } from '@briarpick/control-finder'
import { createKernel, type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { createMetrics } from '@briarpick/metrics'
import { createRpcServer, type Peer, type RpcHandlers } from '@briarpick/rpc'
import { type ControlSettings } from '@briarpick/settings'
import { openIdentity, openLogFile } from '@briarpick/consensus-log'
import { createControlNode, type ControlNode, notLeaderError } from './createControlNode.js'
import { createLeaderDuties, type LeaderDuties } from './createLeaderDuties.js'
import { createVoterAdmission, type VoterAdmission } from './createVoterAdmission.js'
import { type ControlStatus, readControlStatus } from './readControlStatus.js'
import { checkJoinRequest, checkLeaderRequest, checkRaftEnvelope, checkRenewRequest } from './requestSchemas.js'

/** Options of a control daemon. */
export interface StartControlOptions {
  /** Source of random numbers, uniform in [0, 1); Math.random if absent. */
  readonly random?: () => number
  /** Called on an error after which the daemon can't continue. */
  readonly onFatal: (err: unknown) => void
}

/** A running control daemon. */
export interface ControlDaemon extends Service {
  readonly address: Address
}

const log = createLogger('control')

/** Starts a control daemon from validated settings. */
export async function startControl (settings: ControlSettings, opts: StartControlOptions): Promise<ControlDaemon> {
  const kernel = createKernel()
  const metrics = createMetrics()
  const identity = openIdentity(settings.data_folder, settings.name)
  const logFile = openLogFile<ControlCommand>(settings.data_folder, identity.firstSnapshot)
  if (logFile.truncatedBytes > 0) log('tornRecordTruncated', { bytes: logFile.truncatedBytes })
  const { election_min: electionMinMs, election_max: electionMaxMs, heartbeat: heartbeatMs } = settings.timing

  const node = await kernel.start<ControlNode>('node', () => createControlNode({
    id: identity.id,
    addressOf: (name) => Object.hasOwn(settings.nodes, name) ? settings.nodes[name] : undefined,
    logFile,
    timing: { heartbeatMs, electionMinMs, electionMaxMs },
    random: opts.random ?? Math.random,
    onFatal: opts.onFatal,
  }))
  const duties = await kernel.start<LeaderDuties>('duties', () => createLeaderDuties({ node, metrics, leaseExpiryMarginMs: electionMinMs }))
  const admission = await kernel.start<VoterAdmission>('admission', () => createVoterAdmission({ node, nodes: settings.nodes }))
  const self = settings.nodes[settings.name]
  const leaderResponder = createLeaderResponder({
    self,
    current: () => ({ leader: node.isReady() ? self : node.leaderAddress(), controls: Object.values(settings.nodes) }),
  })
  const handlers: RpcHandlers = {
    'agreement.message': (raw: unknown, peer: Peer) => {
      const { from, to, message } = checkRaftEnvelope(raw)
      if (to === identity.id) node.receive(from, message, peer)
    },
    'control.join': (raw: unknown) => admission.join(checkJoinRequest(raw).id),
    'control.renew': (raw: unknown, peer: Peer) => duties.renew(checkRenewRequest(raw), peer),
    'control.leader': (raw: unknown) => leaderResponder.respond(checkLeaderRequest(raw)),
    'control.status': (): ControlStatus => readControlStatus(node, duties),
    'metrics.read': () => metrics.snapshot(),
    'bundle.submit': async ({ bundle }: { readonly bundle: SignedBundle }) => {
      const checked = verifyBundle(bundle, settings.signers).andThen(() => checkBundleText(bundle.text))
      if (checked.isErr) throw checked.error
      const outcome = await node.propose({ kind: 'submitBundle', bundle })
      duties.pokeAll()
      if (outcome.kind !== 'bundle') throw notLeaderError(node.leaderAddress())
      log('bundleSubmitted', { version: bundle.version, verdict: outcome.verdict.kind, signer: bundle.signer })
      return outcome.verdict
    },
    'bundle.show': () => {
      if (!node.isReady()) throw notLeaderError(node.leaderAddress())
      return node.state().bundle
    },
  }
  const server = await kernel.start('rpc', async () => await createRpcServer({ listen: settings.listen, handlers }))
  log('started', { name: settings.name, id: identity.id, listen: `${server.address.host}:${server.address.port}` })
  return { address: server.address, close: () => kernel.close() }
}
