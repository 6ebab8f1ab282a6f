import { type DuplexStream, PostgresConnection, type PostgresConnectionOptions } from 'pg-gateway'
import { writeBackendKeyData, writeParameterStatus, writeReadyForQuery } from '@briarpick/pg-wire'

/** Identifies a caller's connection in a cancel request. */
export interface BackendKey {
  readonly processId: number
  readonly secret: number
}

/** What a server tells a caller once the password was checked. */
export interface StartupResponse {
  readonly key: BackendKey
  readonly parameters: Readonly<Record<string, string>>
}

/** The library's start-up, with the greeting that drivers expect. */
export class StartupConnection extends PostgresConnection {
  readonly #greeting: StartupResponse

  constructor (duplex: DuplexStream<Uint8Array>, greeting: StartupResponse, opts: PostgresConnectionOptions) {
    super(duplex, opts)
    this.#greeting = greeting
  }

  override async * completeAuthentication (): AsyncGenerator<Uint8Array, void, unknown> {
    this.isAuthenticated = true
    yield this.createAuthenticationOk()
    for (const [name, value] of Object.entries(this.#greeting.parameters)) yield writeParameterStatus(name, value)
    yield writeBackendKeyData(this.#greeting.key.processId, this.#greeting.key.secret)
    yield writeReadyForQuery('I')
  }
}
