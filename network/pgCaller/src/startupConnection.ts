import { type DuplexStream, PostgresConnection, type PostgresConnectionOptions } from 'pg-gateway'
import { writeBackendKeyData, writeParameterStatus, writeReadyForQuery } from '@briarpick/pg-wire'

/** Identifies a caller's connection in a CancelRequest. */
export interface BackendKey {
  readonly processId: number
  readonly secret: number
}

/** BackendKeyData and ParameterStatus values sent after authentication. */
export interface StartupResponse {
  readonly key: BackendKey
  readonly parameters: Readonly<Record<string, string>>
}

/** Start-up of pg-gateway that also sends BackendKeyData and ParameterStatus, which drivers expect. */
export class StartupConnection extends PostgresConnection {
  readonly #startupResponse: StartupResponse

  constructor (duplex: DuplexStream<Uint8Array>, startupResponse: StartupResponse, opts: PostgresConnectionOptions) {
    super(duplex, opts)
    this.#startupResponse = startupResponse
  }

  override async * completeAuthentication (): AsyncGenerator<Uint8Array, void, unknown> {
    this.isAuthenticated = true
    yield this.createAuthenticationOk()
    for (const [name, value] of Object.entries(this.#startupResponse.parameters)) yield writeParameterStatus(name, value)
    yield writeBackendKeyData(this.#startupResponse.key.processId, this.#startupResponse.key.secret)
    yield writeReadyForQuery('I')
  }
}
