import fs from 'node:fs'
import { defineCommand } from 'citty'
import { type SignedBundle, type SubmitBundleResult } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { checkBundleText, generateSignerKeys, signBundle } from '@briarpick/bundle'
import { controlArg, parseAddresses, sendToLeader } from '../controlClient.js'

const PRIVATE_FILE_MODE = 0o600

function readTextFile (file: string): string {
  try {
    return fs.readFileSync(file, 'utf8')
  } catch (err) {
    throw new BriarpickError('ERR_BRIARPICK_SETTINGS', `${file}: cannot be read`, { hint: 'check the path and its permissions', cause: err })
  }
}

const keygenCommand = defineCommand({
  meta: { name: 'keygen', description: 'Generate the key pair of a person who signs bundles' },
  args: { out: { type: 'string', required: true, description: 'file for the private key; the public key is written to the same name with .pub appended' } },
  run ({ args }) {
    const { privateKey, publicKey } = generateSignerKeys()
    fs.writeFileSync(args.out, privateKey + '\n', { mode: PRIVATE_FILE_MODE, flag: 'wx' })
    fs.writeFileSync(`${args.out}.pub`, publicKey + '\n')
    process.stdout.write(`${publicKey}\n`)
  },
})

const checkCommand = defineCommand({
  meta: { name: 'check', description: 'Check that a bundle is valid' },
  args: { file: { type: 'positional', required: true, description: 'bundle file in TOML' } },
  run ({ args }) {
    const checked = checkBundleText(readTextFile(args.file), args.file)
    if (checked.isErr) throw checked.error
    process.stdout.write(`${args.file}: valid, version ${checked.value.version}\n`)
  },
})

const signCommand = defineCommand({
  meta: { name: 'sign', description: 'Sign a bundle' },
  args: {
    file: { type: 'positional', required: true, description: 'bundle file in TOML' },
    key: { type: 'string', required: true, description: 'private key file' },
    signer: { type: 'string', required: true, description: 'name of the signer' },
    out: { type: 'string', required: true, description: 'file for the signed bundle' },
  },
  run ({ args }) {
    const signed = signBundle(readTextFile(args.file), args.signer, readTextFile(args.key).trim())
    if (signed.isErr) throw signed.error
    fs.writeFileSync(args.out, JSON.stringify(signed.value, null, 2) + '\n')
    process.stdout.write(`${args.out}: version ${signed.value.version}, digest ${signed.value.digest}\n`)
  },
})

const REFUSED_VERDICTS: ReadonlySet<SubmitBundleResult['kind']> = new Set(['refusedConflict', 'refusedOlder'])

const submitCommand = defineCommand({
  meta: { name: 'submit', description: 'Submit a signed bundle; submitting it again is safe' },
  args: {
    file: { type: 'positional', required: true, description: 'signed bundle file' },
    control: controlArg,
  },
  async run ({ args }) {
    const bundle = readSignedBundle(args.file)
    const verdict = await sendToLeader<SubmitBundleResult>(parseAddresses(args.control), 'bundle.submit', { bundle })
    process.stdout.write(`${JSON.stringify(verdict)}\n`)
    if (REFUSED_VERDICTS.has(verdict.kind)) {
      throw new BriarpickError('ERR_BRIARPICK_BUNDLE', `version ${bundle.version} was rejected: ${verdict.kind}`, {
        hint: 'see the current bundle with briarpick bundle show, and sign yours with a higher version',
      })
    }
  },
})

function readSignedBundle (file: string): SignedBundle {
  try {
    return JSON.parse(readTextFile(file)) as SignedBundle
  } catch (err) {
    if (err instanceof BriarpickError) throw err
    throw new BriarpickError('ERR_BRIARPICK_BUNDLE', `${file} is not a signed bundle`, { hint: 'create it with briarpick bundle sign', cause: err })
  }
}

const showCommand = defineCommand({
  meta: { name: 'show', description: 'Show the current bundle' },
  args: { control: controlArg },
  async run ({ args }) {
    const bundle = await sendToLeader<SignedBundle | null>(parseAddresses(args.control), 'bundle.show', {})
    process.stdout.write(bundle === null ? 'no bundle has been accepted yet\n' : `# version ${bundle.version}, signed by ${bundle.signer}, digest ${bundle.digest}\n${bundle.text}`)
  },
})

/** `briarpick bundle` */
export const bundleCommand = defineCommand({
  meta: { name: 'bundle', description: 'Create, sign and submit bundles' },
  subCommands: { keygen: keygenCommand, check: checkCommand, sign: signCommand, submit: submitCommand, show: showCommand },
})
