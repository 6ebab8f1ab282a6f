/** Resolves on the first SIGTERM or SIGINT. */
export function awaitStopSignal (): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve('SIGTERM'))
    process.once('SIGINT', () => resolve('SIGINT'))
  })
}
