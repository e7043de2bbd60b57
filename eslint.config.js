import { configs, plugins } from 'eslint-config-airbnb-extended';
import * as tseslint from 'typescript-eslint';

const namespaceImports = {
  selector: 'ImportSpecifier, ImportDefaultSpecifier',
  message: 'House style: namespace imports (import * as x).',
};

export default [
  {
    ignores: [
      'dist/**',
      'target/**',
      'node_modules/**',
      '**/generated/**',
      'out/**',
      'coverage/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parser: tseslint.parser,
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      // House style line "Imports and visibility: namespace imports".
      'no-restricted-syntax': ['error', namespaceImports],
      'import-x/no-namespace': 'off',
      'import-x/prefer-default-export': 'off',
      // House style line "one task for each connection, written straight down": tasks await in loops.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // House style line "one line a step": interfaces and classes reference each other freely.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: false }],
      // House style line "Data: read-only types throughout".
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: false }],
      '@typescript-eslint/naming-convention': 'off',
      // Interfaces with one implementation without state are still classes (line "interfaces with classes").
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'max-classes-per-file': ['error', 1],
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'no-bitwise': 'off',
      // Long comments and strings are the formatter's matter.
      'max-len': 'off',
      // Abort reasons are errors by contract; the type of AbortSignal.reason is any.
      'prefer-promise-reject-errors': 'off',
      '@typescript-eslint/prefer-promise-reject-errors': 'off',
      'no-underscore-dangle': 'error',
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {
      'max-classes-per-file': 'off',
    },
  },
  {
    files: ['scripts/**', 'eslint.config.js', 'vitest.config.js'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly' } },
    rules: {
      'no-console': 'off',
      'no-await-in-loop': 'off',
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-unresolved': 'off',
      'no-restricted-syntax': 'off',
    },
  },
  // Formatting is the formatter's alone.
  {
    rules: Object.fromEntries(
      Object.keys(plugins.stylistic.plugins?.['@stylistic']?.rules ?? {}).map((rule) => [
        `@stylistic/${rule}`,
        'off',
      ]),
    ),
  },
];
