import js from '@eslint/js'
import tseslint from 'typescript-eslint'

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', '**/generated/**', '**/node_modules/**', '.run/**'] },
  js.configs.recommended,
  {
    files: ['**/*.ts'],
    extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: {
        project: [
          './packages/*/tsconfig.json',
          './platform/tsconfig.json',
          './platform/soak/tsconfig.json',
          './tsconfig.tests.json',
        ],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      // House style: namespace imports and named exports only.
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ImportDeclaration > ImportSpecifier',
          message: "Use a namespace import: import * as name from '…'.",
        },
        {
          selector: 'ImportDeclaration > ImportDefaultSpecifier',
          message: "Use a namespace import: import * as name from '…'.",
        },
        { selector: 'ExportDefaultDeclaration', message: 'Use a named export.' },
      ],
      'no-console': 'error',
    },
  },
  {
    files: ['**/*.js', '**/*.mjs'],
    languageOptions: {
      globals: Object.fromEntries(
        [
          'AbortSignal',
          'Buffer',
          'URL',
          'clearInterval',
          'clearTimeout',
          'console',
          'fetch',
          'performance',
          'process',
          'setInterval',
          'setTimeout',
        ].map((name) => [name, 'readonly']),
      ),
    },
  },
  {
    files: ['vitest.config.ts'],
    rules: { 'no-restricted-syntax': 'off' },
  },
)
