import pg from 'pg'
import { type DaemonProcess } from './startControls.js'

/** Connects a stock driver to a proxy; the session's name is optional. */
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
