import neostandard from 'neostandard'

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'] },
  ...neostandard({ ts: true, env: ['node', 'mocha'] }),
  {
    files: ['**/*.spec.ts'],
    rules: { 'no-unused-expressions': 'off', '@typescript-eslint/no-unused-expressions': 'off' }
  }
]
