import { type Address, type WitnessReport, type WitnessRequest } from '@briarpick/types'
import { groupStatements, type TargetConnection } from '@briarpick/pg-target'

/** Looks at targets for control, from this proxy's place. */
export interface Witness {
  look: (request: WitnessRequest) => void
  /** Findings since the last call. */
  takeFindings: () => readonly WitnessReport[]
}

/** Options of a witness. */
export interface WitnessOptions {
  readonly connect: (database: string, address: Address) => Promise<TargetConnection>
  readonly onNews: () => void
}

const LOOK_TIMEOUT_MS = 400

/** Creates a witness without findings. */
export function createWitness (opts: WitnessOptions): Witness {
  let findings: WitnessReport[] = []

  async function canReach (request: WitnessRequest): Promise<boolean> {
    const connection = await opts.connect(request.database, request.address)
    try {
      await connection.query(groupStatements.status, LOOK_TIMEOUT_MS)
      return true
    } finally {
      connection.close()
    }
  }

  function note (request: WitnessRequest, reachable: boolean): void {
    const { database, instance, term } = request
    findings.push({ database, instance, term, reachable })
    opts.onNews()
  }

  return {
    look (request) {
      canReach(request).then((reachable) => note(request, reachable), () => note(request, false))
    },
    takeFindings () {
      const taken = findings
      findings = []
      return taken
    },
  }
}
