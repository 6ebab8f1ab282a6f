import { defineCommand } from 'citty'
import { parseAddresses, sendRequest } from './controlClient.js'

/** `briarpick drain` */
export const drainCommand = defineCommand({
  meta: { name: 'drain', description: 'Stop a proxy without interrupting requests in flight' },
  args: {
    proxy: { type: 'string', required: true, description: 'RPC address of the proxy', valueHint: '10.0.0.5:7600' },
  },
  async run ({ args }) {
    await sendRequest(parseAddresses(args.proxy)[0], 'proxy.drain', {})
    process.stdout.write(`${args.proxy}: draining; the process exits once it has drained\n`)
  },
})
