import { type Result } from 'true-myth'
import { type BriarpickError } from '@briarpick/error'

/** Source of the settings and handling of errors. */
export interface SettingsWatcherOptions<T> {
  /** Settings with which the process started. */
  readonly first: T
  readonly read: () => Result<T, BriarpickError>
  /** Called when the file cannot be read or is invalid; the previous settings stay in force. */
  readonly onError: (err: BriarpickError) => void
  /** Polling interval, in ms; 2000 by default. */
  readonly intervalMs?: number
}

/** Settings that follow changes of their file while the process runs. */
export interface SettingsWatcher<T> {
  readonly current: () => T
  /** Reads the file immediately. */
  readonly reload: () => void
  readonly close: () => void
}

/** Default polling interval, in ms. Not every change comes with a signal, and lists of control nodes are updated seconds late anyway. */
const DEFAULT_INTERVAL_MS = 2000

/** Polls the settings file; the timer does not keep the process alive. */
export function createSettingsWatcher<T> (opts: SettingsWatcherOptions<T>): SettingsWatcher<T> {
  let current = opts.first
  const timer = setInterval(reload, opts.intervalMs ?? DEFAULT_INTERVAL_MS).unref()

  function reload (): void {
    opts.read().match({
      Ok (next) {
        current = next
      },
      Err: opts.onError,
    })
  }

  return {
    current: () => current,
    reload,
    close: () => clearInterval(timer),
  }
}
