import pg from 'pg'
import { type DaemonProcess } from './startControls.js'

/** Connects to a proxy with the pg driver, under a session name if one is given. Rejects if the proxy refuses the connection. */
export async function connectCaller (proxy: Pick<DaemonProcess, 'callers'>, database: string, session?: string): Promise<pg.Client> {
  const client = new pg.Client({
    host: proxy.callers.host,
    port: proxy.callers.port,
    user: 'caller',
    database,
    options: session === undefined ? undefined : `-c briarpick.session=${session}`,
  })
  client.on('error', () => {})
  await client.connect()
  return client
}
