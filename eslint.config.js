import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/lib/**', 'target/**', '.demo/**', '.bench/**'] }),
  {
    rules: {
      '@stylistic/max-len': ['error', { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true }],
      // Reports false positives for variables that a closure modifies.
      'no-unmodified-loop-condition': 'off',
    },
  },
]
