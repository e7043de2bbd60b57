/** Hashes of the demo workspaces' keys, as a declaration stores them. */
import type * as declare from 'anvildeck/declare';

/** Stored keys by workspace. */
export const KEY_HASHES: Readonly<Record<string, readonly declare.IKeyHash[]>> = {
  'norrsken-council': [
    {
      id: 'norrsken-council-demo',
      salt: '8dbd10d6998c66f9809a65df819d664d',
      hash: 'f6b846d019008792227a597cbc8ebe3e7ff691d59809f8b5380a0642ed09ef91',
    },
  ],
  'coastal-council': [
    {
      id: 'coastal-council-demo',
      salt: '744f8b5fd7145cddf94cc70fed04464d',
      hash: 'a8192458336daa720d0271c84598aef77f8a24921cc9472ccdd302eb0a9e7f8d',
    },
  ],
  'forest-council': [
    {
      id: 'forest-council-demo',
      salt: '3377300c4a41463a0dd63df5dea5fa24',
      hash: 'c43a85c5b9c46e25610cd28b4b9afb3ee542946eefdb6b417e73246cef03b9d7',
    },
  ],
  'press-desk': [
    {
      id: 'press-desk-demo',
      salt: 'a78785e483fe5521a45c3c19633c0660',
      hash: '4137aa02f6ff4e606f1180669e54149707a48a776957f74c0d312cb3e88f1055',
    },
  ],
  'open-data-portal': [
    {
      id: 'open-data-portal-demo',
      salt: '0c0e0ec5e880ae213fbd4ff43ea931aa',
      hash: 'c290114279999fa0a0472526fd32aa06c0f0809d50103fe206347300afd75ff2',
    },
  ],
};
