/** Limits the lines of each event and reason per second. */
export interface LineLimit {
  /**
   * Admits a line, or returns undefined if it must be dropped. Returns the number of lines dropped in the previous window for the first
   * line of a window, and 0 for all others.
   */
  admit: (event: string, reason: string, now: number) => number | undefined
}

/** Lines of one event and reason within a window of `WINDOW_MS`. */
interface LineWindow {
  readonly startedAt: number
  lines: number
  droppedLines: number
}

const WINDOW_MS = 1000
/** Maximum number of windows of one event. A reason may be text of others, so beyond it all further reasons share one window. */
const MAX_REASONS = 64

/** Creates a limit that has admitted nothing; times are in ms on one clock. */
export function createLineLimit (linesPerSecond: number): LineLimit {
  const windowsByEvent = new Map<string, Map<string | undefined, LineWindow>>()

  function windowsOf (event: string): Map<string | undefined, LineWindow> {
    const windows = windowsByEvent.get(event) ?? new Map<string | undefined, LineWindow>()
    windowsByEvent.set(event, windows)
    return windows
  }

  return {
    admit (event, reason, now) {
      const windows = windowsOf(event)
      if (windows.size >= MAX_REASONS && !windows.has(reason)) deleteEnded(windows, now)
      const key = windows.size < MAX_REASONS || windows.has(reason) ? reason : undefined
      const window = windows.get(key)
      if (window === undefined || hasEnded(window, now)) {
        windows.set(key, { startedAt: now, lines: 1, droppedLines: 0 })
        return window?.droppedLines ?? 0
      }
      if (window.lines < linesPerSecond) {
        window.lines += 1
        return 0
      }
      window.droppedLines += 1
      return undefined
    },
  }
}

function hasEnded ({ startedAt }: LineWindow, now: number): boolean {
  return now - startedAt > WINDOW_MS
}

/** Deletes the windows that have ended; the shared one stays, for its number of dropped lines. */
function deleteEnded (windows: Map<string | undefined, LineWindow>, now: number): void {
  for (const [reason, window] of windows) if (reason !== undefined && hasEnded(window, now)) windows.delete(reason)
}
