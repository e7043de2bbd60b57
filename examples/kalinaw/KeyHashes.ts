/** Hashes of the demo workspaces' keys, as a declaration stores them. */
import type * as declare from 'anvildeck/declare';

/** Stored keys by workspace. */
export const KEY_HASHES: Readonly<Record<string, readonly declare.IKeyHash[]>> = {
  'batangas-fishers': [
    {
      id: 'batangas-fishers-demo',
      salt: 'a34bad910e37f589ff875b9b73f9f9d2',
      hash: '4bfe478567624cdfd3629a486d098217624d16a4de852d311e4f05e4c27e20db',
    },
  ],
  'dairy-cooperative': [
    {
      id: 'dairy-cooperative-demo',
      salt: '54d33ae428f2d0c046de6eddf2a7240b',
      hash: 'a7a3e89dcac6ffb1c0a0fbd3ee942c0450af4ceda0cc38a287e8b89dc2959b6d',
    },
  ],
  'rice-growers': [
    {
      id: 'rice-growers-demo',
      salt: '833a13a2c58bf3c4659bd521c5fbfa48',
      hash: '0399cb0d4d9291082a9339fe8bd1d20a2b456c3a4f41c8b9873557f5c6f042fd',
    },
  ],
  'market-vendors': [
    {
      id: 'market-vendors-demo',
      salt: '5e9f84719af64532655beda09b6808e8',
      hash: 'd9ba94e6f6f930ca9d87fcb598c260a5680ee8cc060b823f22f928ee7acc73d4',
    },
  ],
  'audit-office': [
    {
      id: 'audit-office-demo',
      salt: 'e15196f4ebd20bb5b569545a97f6cd73',
      hash: '179cf0bb9c3e957ee929b12228f95a975ae581a0d4a3cbd125396995dea447a9',
    },
  ],
};
