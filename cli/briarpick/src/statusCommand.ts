import { defineCommand } from 'citty'
import { BriarpickError } from '@briarpick/error'
import { type ControlStatus } from '@briarpick/daemon-control'
import { type ProxyReport } from '@briarpick/daemon-proxy'
import { type DatabaseView } from '@briarpick/types'
import { controlArg, parseAddresses, sendRequest } from './controlClient.js'

/** Status of control and of the proxies; `report` is null for a proxy that is not live or did not respond. */
export interface SystemStatus {
  readonly control: ControlStatus
  readonly proxies: ReadonlyArray<ControlStatus['proxies'][number] & { readonly report: ProxyReport | null }>
}

/** `briarpick status` */
export const statusCommand = defineCommand({
  meta: { name: 'status', description: 'Show leader, quorum, proxies, databases and the current bundle' },
  args: {
    control: controlArg,
    json: { type: 'boolean', description: 'print JSON' },
  },
  async run ({ args }) {
    const status = await readStatus(args.control)
    process.stdout.write(args.json === true ? `${JSON.stringify(status, null, 2)}\n` : formatStatus(status))
  },
})

/** Requests the status of the control nodes in `control` and of each live proxy; prefers a leader that a quorum confirmed. */
export async function readStatus (control: string): Promise<SystemStatus> {
  const responses = await Promise.allSettled(parseAddresses(control).map((address) => sendRequest<ControlStatus>(address, 'control.status', {})))
  const statuses = responses.flatMap((response) => response.status === 'fulfilled' ? [response.value] : [])
  const leader = statuses.find((status) => status.ready) ?? statuses[0]
  if (leader === undefined) {
    throw new BriarpickError('ERR_BRIARPICK_RPC', 'no control node responded', { hint: 'check the addresses and that the control daemons are running' })
  }
  const proxies = await Promise.all(leader.proxies.map(async (proxy) => {
    const report = proxy.live ? await readReport(proxy.rpcAddress) : null
    return { ...proxy, report }
  }))
  return { control: leader, proxies }
}

async function readReport (rpcAddress: string): Promise<ProxyReport | null> {
  return await sendRequest<ProxyReport>(parseAddresses(rpcAddress)[0], 'proxy.status', {}).catch(() => null)
}

function formatDatabase (view: DatabaseView): string {
  const members = view.members.map((member) => member.instance + (member.state === 'leaving' ? ' (leaving)' : '')).join(' ')
  return `  ${view.database}: ${view.state} term=${view.term} primary=${view.primary ?? 'none'} in_sync=${view.inSync.join() || 'none'} ` +
    `home=${view.home?.proxy ?? 'none'} epoch=${view.homeEpoch} targets=${members}`
}

function formatStatus ({ control, proxies }: SystemStatus): string {
  const { agreement } = control
  const lines = [
    `leader: ${agreement.leader ?? 'none'}${control.ready ? '' : ' (not confirmed by a quorum)'}`,
    `term: ${agreement.term}  commit: ${agreement.commit}  voters: ${agreement.voters.voters.join(' ')}  learners: ${agreement.voters.learners.join(' ') || 'none'}`,
    `bundle: version ${control.bundleVersion}`,
    'databases:',
    ...control.views.map(formatDatabase),
    'proxies:',
    ...proxies.map((proxy) => `  ${proxy.proxy} in ${proxy.dataCentre}: ${proxy.live ? 'live' : 'gone'}${proxy.leaving ? ' leaving' : ''} ` +
      `bundle=${proxy.report?.bundleVersion ?? proxy.bundleVersion} callers=${proxy.report?.callers ?? '?'} homes=${proxy.homes.join() || 'none'}`),
  ]
  return lines.join('\n') + '\n'
}
