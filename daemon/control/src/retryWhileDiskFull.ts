import { setTimeout as sleep } from 'node:timers/promises'
import { isDiskFull } from '@briarpick/consensus-log'
import { createLogger } from '@briarpick/logs'

/** Interval of attempts to open the data folder on a full disk, in ms. */
const STORAGE_RETRY_MS = 500
const log = createLogger('control')

/** Retries an operation on the data folder while its disk is full; a restart of the process would change nothing. */
export async function retryWhileDiskFull<T> (operation: () => T): Promise<T> {
  for (;;) {
    try {
      return operation()
    } catch (err) {
      if (!isDiskFull(err)) throw err
      log('storageFull', { reason: String(err) })
      await sleep(STORAGE_RETRY_MS)
    }
  }
}
