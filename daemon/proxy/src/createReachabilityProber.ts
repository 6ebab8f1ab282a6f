import { type Address, type WitnessReport, type WitnessRequest } from '@briarpick/types'
import { groupStatements, type TargetConnection } from '@briarpick/pg-target'

/** Probes targets on behalf of control, so that control learns whether they are reachable from this proxy. */
export interface ReachabilityProber {
  /** Starts a probe of one target; its result is added to the reports. */
  probe: (request: WitnessRequest) => void
  /** Returns and clears the reports since the last call. */
  takeReports: () => readonly WitnessReport[]
}

/** Options of `createReachabilityProber`. */
export interface ReachabilityProberOptions {
  readonly connect: (database: string, address: Address) => Promise<TargetConnection>
  /** Called after each probe. */
  readonly onReportChange: () => void
}

const PROBE_TIMEOUT_MS = 400

/** Creates a prober without reports. */
export function createReachabilityProber (opts: ReachabilityProberOptions): ReachabilityProber {
  let pendingReports: WitnessReport[] = []

  async function isReachable (request: WitnessRequest): Promise<boolean> {
    const connection = await opts.connect(request.database, request.address)
    try {
      await connection.query(groupStatements.status, PROBE_TIMEOUT_MS)
      return true
    } finally {
      connection.close()
    }
  }

  function addReport (request: WitnessRequest, reachable: boolean): void {
    const { database, instance, term } = request
    pendingReports.push({ database, instance, term, reachable })
    opts.onReportChange()
  }

  return {
    probe (request) {
      isReachable(request).then((reachable) => addReport(request, reachable), () => addReport(request, false))
    },
    takeReports () {
      const taken = pendingReports
      pendingReports = []
      return taken
    },
  }
}
