/** What a prepared name stands for. */
export interface PreparedStatement {
  readonly access: string
  readonly shape: string
}

/** A statement that an instance ran. In its texts, one character is one byte. */
export interface StandInRun {
  readonly id: string
  /** Text after the id and an optional WAITLSN prefix. */
  readonly text: string
  readonly instance: string
  /** Number of the connection, unique at its instance. */
  readonly connection: number
  /** Number of the transaction, unique at its connection; null outside of one. */
  readonly transaction: number | null
  /** Session values of the connection. */
  readonly values: ReadonlyMap<string, string>
  /** What the name of an EXECUTE stands for; null for other statements. */
  readonly prepared: PreparedStatement | null
  /** Argument of COMPLETE, unique to this run. */
  readonly signature: string
  /** Time of the run on the monotonic clock, in ms. */
  readonly ranAtMs: number
}

/** A fault of an instance while it handles one command. */
export interface StandInFault {
  /** Delay before the command runs, in ms. */
  readonly delayMs?: number
  /** Error code with which the command is refused without a run. */
  readonly refusal?: string
  /** Delay of the response after the command has run, in ms. */
  readonly answerDelayMs?: number
  /** The connection closes after the command has run: without a response, or in the middle of it. */
  readonly answer?: 'lost' | 'cut'
}

/** Returns the fault for the next command, by the first word of its text; undefined for none. */
export type ChooseFault = (verb: string) => StandInFault | undefined
